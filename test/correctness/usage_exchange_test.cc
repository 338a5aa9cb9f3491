// Guards against final counts of a window that an instance never learns because
// it has started after they were told, or because that message was lost.

#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/duty_runner.h"
#include "test/support/recoverable_store.h"
#include "wire/report_codec.h"

namespace anvilloom {

namespace {

// A cloud that is never called.
struct silent_cloud {
  awaitable<duty_result> ReportUsage(const usage_report&,
                                     std::uint64_t,
                                     deadline) {
    co_return duty_result::kUnknown;
  }
  awaitable<duty_result> OrderEngines(const engine_order&,
                                      std::uint64_t,
                                      deadline) {
    co_return duty_result::kUnknown;
  }
};

// Messages on their way, by the address that they are sent to.
struct message_queue {
  std::deque<std::pair<std::string, std::string>> messages;
  // Number of messages that are still to be lost.
  int losses = 0;
  int questions = 0;

  void Send(std::string_view address, const peer_report& report) {
    questions += report.content == report_content::kUsageQuestion ? 1 : 0;
    if (losses > 0) {
      --losses;
      return;
    }
    messages.emplace_back(address, EncodePeerReport(report));
  }
};

// What one process knows of the final counts; its name is its address.
class process {
 public:
  process(std::string_view name, message_queue& queue)
      : queue_(queue),
        state_(Settings(name)),
        peers_(std::string(name)),
        store_(objects_, state_.era),
        duties_(state_, peers_, store_, cloud_, name) {
    state_.usage_sender.answer = [this](std::string_view address,
                                        const usage_report& usage) {
      queue_.Send(address, Final(usage));
    };
    state_.usage_sender.ask = [this](std::string_view address,
                                     std::span<const std::uint64_t> windows) {
      peer_report question = Header(report_content::kUsageQuestion);
      question.final_windows.assign(windows.begin(), windows.end());
      queue_.Send(address, question);
    };
  }

  const std::string& name() const { return state_.settings.name; }
  std::uint64_t CurrentWindow() const { return state_.CurrentWindow(); }

  peer_report Header(report_content content) const {
    peer_report report;
    report.name = name();
    report.address = name();
    report.content = content;
    return report;
  }
  peer_report Final(const usage_report& usage) const {
    peer_report report = Header(report_content::kFinalUsage);
    report.final_windows = {usage.window};
    for (const auto& [workspace, requests] : usage.requests) {
      report.begun.push_back({usage.window, workspace, requests});
    }
    return report;
  }
  // The periodic report to an instance that needs the usage.
  peer_report Periodic() const {
    peer_report report = Header(report_content::kWhole);
    report.final_windows = duties_.FinalWindows();
    return report;
  }
  void Take(const peer_report& report) { duties_.Take(report); }
  // Hears of other instances, all of which precede this one.
  void ExpectPreceding(int count) {
    for (int i = 0; count > 0; ++i) {
      const std::string other = "other-" + std::to_string(i);
      if (Hash64(other) < Hash64(name())) {
        peers_.Take(Report(other), state_.clock.Now(),
                    {[](const auto&) {}, [](duration) {}});
        --count;
      }
    }
  }
  // The final counts of a window; nothing if they are not known.
  std::optional<std::map<std::string, std::uint64_t>> Known(
      std::uint64_t window) {
    const usage_report* known = duties_.FindFinal(window);
    return known == nullptr ? std::nullopt : std::optional(known->requests);
  }

 private:
  static gateway_settings Settings(std::string_view name) {
    gateway_settings settings;
    settings.name = name;
    settings.usage_window = std::chrono::seconds(5);
    return settings;
  }
  static peer_report Report(std::string_view name) {
    peer_report report;
    report.name = name;
    report.epoch = 1;
    report.sequence = 1;
    return report;
  }

  message_queue& queue_;
  gateway_state state_;
  peer_report_table peers_;
  recoverable_store objects_;
  seen_store store_;
  silent_cloud cloud_;
  duty_runner<seen_store, silent_cloud> duties_;
};

}  // namespace

SCENARIO("An instance learns the final counts that others know",
         "[usage_exchange]") {
  GIVEN("an instance that was told the counts of two windows") {
    message_queue queue;
    process first("first", queue);
    const std::uint64_t last = first.CurrentWindow() - 1;
    const std::map<std::string, std::uint64_t> counts = {{"studio", 5},
                                                         {"atelier", 2}};
    first.Take(process("holder", queue).Final({last, counts}));
    first.Take(process("holder", queue).Final({last - 1, {}}));
    std::map<std::string, process*> all = {{"first", &first}};
    const auto deliver = [&] {
      while (!queue.messages.empty()) {
        const auto [address, text] = queue.messages.front();
        queue.messages.pop_front();
        const auto report = DecodePeerReport(text);
        REQUIRE(report);
        all.at(address)->Take(*report);
      }
    };
    const auto report = [&](const process& from, process& to) {
      to.Take(from.Periodic());
      deliver();
    };

    WHEN("another one starts and hears its periodic report") {
      process second("second", queue);
      all["second"] = &second;
      report(first, second);
      THEN("it knows them, also of the window without requests") {
        CHECK(second.Known(last) == counts);
        CHECK(second.Known(last - 1) == std::map<std::string, std::uint64_t>());
      }
      THEN("it asks no more") {
        queue.questions = 0;
        report(first, second);
        CHECK(queue.questions == 0);
      }
      AND_WHEN("the first one ends and a third one starts") {
        all.erase("first");
        process third("third", queue);
        all["third"] = &third;
        report(second, third);
        THEN("that one knows them, too") {
          CHECK(third.Known(last) == counts);
        }
      }
    }
    WHEN("the question and the next answer are lost") {
      process second("second", queue);
      all["second"] = &second;
      queue.losses = 1;
      report(first, second);
      REQUIRE_FALSE(second.Known(last));
      second.Take(first.Periodic());
      queue.losses = 2;
      deliver();
      REQUIRE_FALSE(second.Known(last));
      THEN("it knows them after another report") {
        report(first, second);
        CHECK(second.Known(last) == counts);
      }
    }
    WHEN("it is told other counts of a window later") {
      first.Take(process("late", queue).Final({last, {{"studio", 1}}}));
      THEN("it keeps the first ones") {
        CHECK(first.Known(last) == counts);
      }
    }
    WHEN("an instance hears of windows that no holder reports any more") {
      process second("second", queue);
      peer_report old = first.Header(report_content::kWhole);
      old.final_windows = {last - 10, last + 2};
      second.Take(old);
      THEN("it does not ask for them") {
        CHECK(queue.questions == 0);
      }
    }
    WHEN("an instance hears the report behind many that precede it") {
      process second("second", queue);
      second.ExpectPreceding(static_cast<int>(kUsageReplicas) + 1);
      second.Take(first.Periodic());
      THEN("it does not ask, since it will not take over the duties") {
        CHECK(queue.questions == 0);
      }
    }
    WHEN("an instance that tells no windows reports the counts of one") {
      process second("second", queue);
      peer_report earlier = first.Final({last, counts});
      earlier.final_windows.clear();
      second.Take(*DecodePeerReport(EncodePeerReport(earlier)));
      THEN("they are known") {
        CHECK(second.Known(last) == counts);
      }
    }
  }
}

}  // namespace anvilloom
