// Case 2: a request inside the body of another one is run by an engine.

#include "review/support/harness.h"

namespace {

using review::milliseconds;

// contactMs, and some time for the first calls.
constexpr milliseconds kInTouch{3500};
constexpr milliseconds kCallLimit{2000};

int Run(const std::string& folder) {
  review::record log(folder);
  review::deployment system(log);
  review::engine first("i-1", log);
  review::engine second("i-2", log);
  system.Put("config", "main", review::Manifest(7));
  system.Announce(first, "desk");
  system.Announce(second, "desk");
  if (!system.StartGateway("edge-1") ||
      !system.AwaitReady("edge-1", milliseconds(10'000)) ||
      !system.AwaitUpstreams("edge-1", 2)) {
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(kInTouch);
  const std::uint16_t port = system.ports("edge-1").callers;

  const std::string body = review::Request("POST", "/once/deposit", "inside",
                                           "Content-Length: 0\r\n", "");
  const std::string framing =
      review::WithTrouble()
          ? std::string("Transfer-Encoding: gzip\r\n")
          : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  log.Write("a consumer sends the request 'outside' with a body of " +
            std::to_string(body.size()) + " bytes and the header " +
            framing.substr(0, framing.size() - 2));
  review::connection channel(port);
  if (!channel.Send(
          review::Request("POST", "/once/note", "outside", framing, body))) {
    return review::kCouldNotRun;
  }
  review::message answer;
  while (review::ReadMessage(channel, answer, kCallLimit)) {
    log.Write("answer: " + answer.first_line + ", request id " +
              answer.Header("x-request-id"));
  }
  channel.Close();

  bool broken = false;
  bool outside_ran = false;
  for (review::engine* each : {&first, &second}) {
    for (const review::message& run : each->Runs()) {
      const std::string id = run.Header("x-request-id");
      outside_ran = outside_ran || id == "outside";
      if (id == "inside") {
        log.Write(each->id() + " ran a request that no consumer sent");
        broken = true;
      } else if (run.body != body) {
        log.Write(each->id() + " ran 'outside' with another body, of " +
                  std::to_string(run.body.size()) + " bytes");
        broken = true;
      }
    }
  }
  if (!review::WithTrouble() && !outside_ran) {
    return review::kCouldNotRun;
  }
  return broken ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 2 ? Run(argv[1]) : review::kCouldNotRun;
}
