// A sound engine of the users' pages: runs a request whose X-Expect-Instance is
// its id, and prints a line for each request that it begins to run, and one for
// each that it has answered.
//
// --listen ADDRESS --id ID --slots N --answer-ms T: paths below /stream/ get
// --events events, the first after T, the others --event-ms apart; the others
// get a plain answer after T.
//
// --deadly ID: a prompt with this part ends the process as it begins to answer.
// --restart-ms T: the process is started again T after its end, with a new
// `born`. --store ADDRESS --service NAME: it enters itself there at its start.

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <string>
#include <thread>

#include "review/support-2/net.h"

namespace review {

namespace {

struct behaviour {
  std::string id;
  int slots = 64;
  int answer_ms = 100;
  int events = 13;
  int event_ms = 50;
  std::string deadly;
};

std::atomic<int> g_running{0};

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string CommonHeaders(const behaviour& self, const std::string& id) {
  return "X-Request-Id: " + id + "\r\nX-Response-Signature: mac." + self.id +
         "." + id + "\r\nKeep-Alive: timeout=15\r\n";
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Sends the events after the one that the caller has; false if it has left.
bool Stream(connection& caller, const behaviour& self, const request& asked) {
  const std::string id = asked.Header("x-request-id");
  const std::string last = asked.Header("last-event-id");
  int number = last.empty() ? 0 : std::atoi(last.c_str());
  Sleep(self.answer_ms);
  if (caller.IsClosedByPeer() ||
      !caller.Write("HTTP/1.1 200 OK\r\n" + CommonHeaders(self, id) +
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  while (number < self.events) {
    ++number;
    const std::string event = "id: " + std::to_string(number) +
                              "\ndata: " + id + " " + std::to_string(number) +
                              "\n\n";
    if (caller.IsClosedByPeer() || !caller.Write(Chunk(event))) {
      return false;
    }
    Sleep(self.event_ms);
  }
  return caller.Write("0\r\n\r\n");
}

bool Answer(connection& caller, const behaviour& self, const request& asked) {
  const std::string id = asked.Header("x-request-id");
  Sleep(self.answer_ms);
  return !caller.IsClosedByPeer() &&
         caller.Write(
             FormatAnswer("200 OK", CommonHeaders(self, id), "done " + id));
}

// Whether a prompt, a list of ID:TOKENS, has a part that crashes engines.
bool IsDeadly(const behaviour& self, const request& asked) {
  const std::string parts = "," + asked.Header("x-prefix-hash");
  return !self.deadly.empty() &&
         parts.find("," + self.deadly + ":") != std::string::npos;
}

bool Refuse(connection& caller,
            const std::string& status,
            const request& asked) {
  return caller.Write(FormatAnswer(
      status,
      "X-Not-Executed: 1\r\nX-Request-Id: " + asked.Header("x-request-id") +
          "\r\nKeep-Alive: timeout=15\r\n",
      ""));
}

bool Handle(connection& caller, const behaviour& self, const request& asked) {
  const std::string expected = asked.Header("x-expect-instance");
  if (!expected.empty() && expected != self.id) {
    return Refuse(caller, "421 Misdirected Request", asked);
  }
  if (g_running.fetch_add(1) >= self.slots) {
    --g_running;
    return Refuse(caller, "503 Service Unavailable", asked);
  }
  const std::string id = asked.Header("x-request-id");
  PrintLine(std::to_string(SteadyMs()) + " ran " + id + " " + self.id + " " +
            asked.method + " " + asked.target + " " +
            std::to_string(asked.body.size()));
  if (IsDeadly(self, asked)) {
    Sleep(self.answer_ms);
    PrintLine(std::to_string(SteadyMs()) + " crashed-by " + id + " " + self.id);
    _exit(1);
  }
  const bool kept = asked.target.starts_with("/stream/")
                        ? Stream(caller, self, asked)
                        : Answer(caller, self, asked);
  --g_running;
  PrintLine(std::to_string(SteadyMs()) +
            (kept ? " answered " : " left-by-caller ") + id + " " + self.id);
  return kept;
}

// Creates or replaces the engine's entry in the store.
void Enter(const options& given,
           const behaviour& self,
           std::int64_t born,
           int sequence) {
  const std::string store = given.Text("store", "");
  std::ostringstream body;
  body << R"({"metadata":{"name":")" << self.id << R"("},"spec":{"service":")"
       << given.Text("service", "") << R"(","address":")"
       << given.Text("listen", "")
       << R"(","zone":"zone-a","version":"1","batchSlots":)" << self.slots
       << R"(,"state":"ready","coldRemainingMs":0,"sequence":)" << sequence
       << R"(,"born":)" << born << "}}";
  const std::string kind = "/anvilloom/objects/servers";
  for (const std::string& line :
       {"PUT " + kind + "/" + self.id, "POST " + kind}) {
    connection channel(Connect(store));
    std::ostringstream sent;
    sent << line
         << " HTTP/1.1\r\nHost: store\r\nContent-Length: " << body.str().size()
         << "\r\n\r\n"
         << body.str();
    channel.Write(sent.str());
    const auto head = channel.ReadHead();
    if (head && head->first_line.find(" 200 ") != std::string::npos) {
      return;
    }
  }
}

// Enters the engine into the store at each heartbeat.
void Beat(const options& given, const behaviour& self) {
  constexpr int kHeartbeatMs = 1200;
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  for (int sequence = 1;; ++sequence) {
    Enter(given, self, born, sequence);
    Sleep(kHeartbeatMs);
  }
}

// Starts the engine again whenever it has ended. Returns in the engine.
void Supervise(int restart_ms) {
  const pid_t parent = getpid();
  for (;;) {
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);  // The parent ended before.
      }
      return;
    }
    waitpid(child, nullptr, 0);
    Sleep(restart_ms);
  }
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  const review::options given(argc, argv);
  review::behaviour self;
  self.id = given.Text("id", "engine");
  self.slots = given.Number("slots", self.slots);
  self.answer_ms = given.Number("answer-ms", self.answer_ms);
  self.events = given.Number("events", self.events);
  self.event_ms = given.Number("event-ms", self.event_ms);
  self.deadly = given.Text("deadly", "");
  const int restart_ms = given.Number("restart-ms", 0);
  if (restart_ms > 0) {
    review::Supervise(restart_ms);
  }
  std::thread([&given, &self] { review::Beat(given, self); }).detach();
  review::Serve(given.Text("listen", "127.0.0.1:9100"),
                [&self](review::connection& caller, const std::string&) {
                  constexpr int kIdleMs = 15'000;
                  caller.SetReadTimeout(kIdleMs);
                  while (const auto asked = review::ReadRequest(caller)) {
                    if (!review::Handle(caller, self, *asked)) {
                      return;
                    }
                  }
                });
}
