#include "test/support/gossip_fleet.h"

#include <algorithm>
#include <utility>

#include "instances/store_era.h"
#include "wire/report_codec.h"

namespace anvilloom {

namespace {

// Delay between two watches; see object_watcher.
constexpr duration kWatchPoll = std::chrono::milliseconds(60);
// Bounds of the pause between two checks; see store_tracker.
constexpr duration kMinPause = std::chrono::milliseconds(1);
constexpr duration kMaxPause = std::chrono::milliseconds(100);
constexpr duration kCheckInterval = std::chrono::milliseconds(10);
// As in announced_upstreams.
constexpr duration kSweepInterval = std::chrono::milliseconds(100);
constexpr duration kStoreDelay = std::chrono::milliseconds(5);
constexpr duration kReadBurst = std::chrono::milliseconds(100);

std::string UpstreamId(std::size_t number) {
  return "upstream-" + std::to_string(number);
}

std::string Name(std::size_t instance) {
  return "instance-" + std::to_string(instance);
}

std::size_t Index(std::string_view name) {
  return std::stoul(std::string(name.substr(name.find('-') + 1)));
}

upstream_change MakeChange(std::size_t number) {
  upstream_change change;
  change.announced.id = UpstreamId(number);
  change.announced.service = "service";
  change.announced.domain = "domain";
  change.announced.address = "10.0.0.1:" + std::to_string(1 + number);
  change.announced.born_ms = 1;
  return change;
}

}  // namespace

gossip_fleet::gossip_fleet(const gossip_fleet_options& options)
    : options_(options), random_(options.seed), nodes_(options.instances) {
  PutManifest();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Start(i);
  }
}

void gossip_fleet::At(time_point at, std::function<void()> run) {
  events_.push({at, next_order_++, std::move(run)});
}

void gossip_fleet::OnNode(std::size_t index,
                          time_point at,
                          std::function<void()> run) {
  At(at, [this, index, life = nodes_[index].life, run = std::move(run)] {
    node& self = nodes_[index];
    if (!self.running || self.life != life) {
      return;
    }
    if (self.paused_until > now_) {
      self.waiting.push_back(run);
      return;
    }
    run();
  });
}

duration gossip_fleet::DrawDelay() {
  const auto range =
      static_cast<double>((options_.max_delay - options_.min_delay).count());
  return options_.min_delay +
         duration(static_cast<std::int64_t>(range * random_.NextUnit()));
}

void gossip_fleet::Run(duration time) {
  const time_point end = now_ + time;
  while (now_ < end) {
    const time_point next =
        events_.empty() ? end : std::min(end, events_.top().at);
    while (check_at_ <= next) {
      now_ = std::max(now_, check_at_);
      check_at_ += kCheckInterval;
      if (now_.time_since_epoch() % kSweepInterval == duration::zero()) {
        SweepUpstreams();
      }
      CheckSoundness();
    }
    now_ = next;
    while (!events_.empty() && events_.top().at <= now_) {
      const std::function<void()> run = events_.top().run;
      events_.pop();
      run();
    }
  }
}

std::optional<duration> gossip_fleet::RunUntil(
    const std::function<bool()>& holds,
    duration limit) {
  const time_point begin = now_;
  while (!holds()) {
    if (now_ - begin > limit) {
      return std::nullopt;
    }
    Run(kCheckInterval);
  }
  return now_ - begin;
}

void gossip_fleet::PutManifest() {
  ++store_.revision;
  ++store_.manifest_version;
  manifest_written_[store_.manifest_version] = now_;
}

void gossip_fleet::PutUpstream(std::size_t number, bool draining) {
  upstream_change change = MakeChange(number);
  change.announced.draining = draining;
  RecordChange(std::move(change));
}

void gossip_fleet::RemoveUpstream(std::size_t number) {
  upstream_change change;
  change.announced.id = UpstreamId(number);
  change.removed = true;
  RecordChange(std::move(change));
}

void gossip_fleet::RecordChange(upstream_change change) {
  change.version = ++store_.revision;
  if (change.removed) {
    store_.entries.erase(change.announced.id);
  } else {
    store_.entries[change.announced.id] = change;
  }
  store_.changes[store_.revision] = std::move(change);
}

void gossip_fleet::Recover() {
  const std::uint64_t era = EraOf(store_.revision) + 1;
  store_ = copy_;
  store_.revision = MakeVersion(era, RevisionOf(store_.revision));
  store_.changes.clear();
  for (auto& [id, change] : store_.entries) {
    change.version = MakeVersion(era, RevisionOf(change.version));
  }
}

void gossip_fleet::SetStoreReachable(std::size_t instance, bool reachable) {
  nodes_[instance].store_reachable = reachable;
}

void gossip_fleet::SetAllStoreReachable(bool reachable) {
  for (node& each : nodes_) {
    each.store_reachable = reachable;
  }
}

void gossip_fleet::Stop(std::size_t instance) {
  nodes_[instance].running = false;
}

void gossip_fleet::Start(std::size_t instance) {
  node& self = nodes_[instance];
  ++self.life;
  self.running = true;
  self.reading = false;
  self.fetching = false;
  self.telling_later = false;
  self.manifest_version = 0;
  self.watched_through = 0;
  self.waiting.clear();
  self.gossip =
      std::make_unique<store_gossip>(options_.apply_time, random_.Next());
  self.builder = std::make_unique<serving_view_builder>();
  self.upstreams = std::make_unique<announced_upstreams>(*self.builder, [] {});
  // Instances list the store when they start.
  ReadStore(instance);
  const duration phase(static_cast<std::int64_t>(
      random_.NextUnit() *
      static_cast<double>(self.gossip->tell_interval().count())));
  OnNode(instance, now_ + phase, [this, instance] { Tick(instance); });
  if (instance < options_.watchers) {
    OnNode(instance, now_ + phase, [this, instance] { PollWatch(instance); });
  }
}

void gossip_fleet::Pause(std::size_t instance, duration time) {
  node& self = nodes_[instance];
  self.paused_until = now_ + time;
  At(self.paused_until, [this, instance, life = self.life] {
    node& woken = nodes_[instance];
    if (woken.life != life || woken.paused_until > now_) {
      return;
    }
    const auto waiting = std::exchange(woken.waiting, {});
    for (const auto& run : waiting) {
      run();
    }
  });
}

void gossip_fleet::SetSendDelay(std::size_t instance, duration delay) {
  nodes_[instance].send_delay = delay;
}

void gossip_fleet::SetGroup(std::size_t instance, std::size_t group) {
  nodes_[instance].group = group;
}

void gossip_fleet::Tick(std::size_t index) {
  node& self = nodes_[index];
  const bool watches = index < options_.watchers && self.store_reachable;
  const store_gossip::reader reader{watches, std::min(index, options_.watchers),
                                    nodes_.size()};
  const deadline next = self.gossip->NextRead(reader, now_);
  if (!self.reading && next.Expired(now_)) {
    ReadStore(index);
  }
  OnNode(index, now_ + std::clamp(next.Remaining(now_), kMinPause, kMaxPause),
         [this, index] { Tick(index); });
}

void gossip_fleet::PollWatch(std::size_t index) {
  node& self = nodes_[index];
  if (self.store_reachable &&
      EraOf(self.watched_through) != EraOf(store_.revision)) {
    // The store does not have the revision to watch from.
    if (!self.reading) {
      ReadStore(index);
    }
  } else if (self.store_reachable && self.watched_through > 0) {
    const std::uint64_t from = self.watched_through;
    std::vector<upstream_change> changes;
    for (auto at = store_.changes.upper_bound(from); at != store_.changes.end();
         ++at) {
      changes.push_back(at->second);
    }
    if (self.manifest_version < store_.manifest_version) {
      self.manifest_version = store_.manifest_version;
      self.gossip->RecordManifest(self.manifest_version, now_);
    }
    if (!changes.empty()) {
      const auto newer = self.upstreams->ApplyChanges(changes, now_);
      self.gossip->RecordWatch(from, store_.revision, newer, now_);
      self.watched_through = store_.revision;
    }
    Spread(index);
  }
  OnNode(index, now_ + kWatchPoll, [this, index] { PollWatch(index); });
}

void gossip_fleet::ReadStore(std::size_t index) {
  node& self = nodes_[index];
  self.reading = true;
  self.traffic.store_reads += 2;
  reads_.push_back(now_);
  const time_point asked_at = now_;
  if (!self.store_reachable) {
    OnNode(index, now_ + self.gossip->read_timeout(), [this, index] {
      node& failed = nodes_[index];
      failed.reading = false;
      failed.gossip->RecordFailedRead(nodes_.size(), now_);
    });
    return;
  }
  OnNode(index, now_ + kStoreDelay, [this, index, asked_at] {
    node& reader = nodes_[index];
    reader.reading = false;
    ApplyList(index, store_);
    reader.gossip->RecordRead(asked_at, now_);
    Spread(index);
  });
}

void gossip_fleet::ApplyList(std::size_t index, const store_state& copy) {
  node& self = nodes_[index];
  std::vector<upstream_change> listed;
  for (const auto& [id, change] : copy.entries) {
    listed.push_back(change);
  }
  const auto newer = self.upstreams->ApplyList(copy.revision, listed, now_);
  self.gossip->RecordList(copy.revision, copy.revision, newer, now_);
  self.watched_through = std::max(self.watched_through, copy.revision);
  if (self.manifest_version < copy.manifest_version) {
    self.manifest_version = copy.manifest_version;
    self.gossip->RecordManifest(self.manifest_version, now_);
  }
}

void gossip_fleet::Spread(std::size_t index) {
  node& self = nodes_[index];
  auto news = self.gossip->TakeNews(now_);
  if (!self.telling_later && self.gossip->NextTell() != deadline::Never()) {
    self.telling_later = true;
    OnNode(index, self.gossip->NextTell().at(), [this, index] {
      nodes_[index].telling_later = false;
      Spread(index);
    });
  }
  if (!news) {
    return;
  }
  news->fetch_address = Name(index);
  peer_report report;
  report.content = report_content::kNews;
  report.news = std::move(news);
  const std::size_t count =
      std::min(store_gossip::Fanout(nodes_.size()), nodes_.size() - 1);
  std::vector<std::size_t> targets;
  while (targets.size() < count) {
    const std::size_t drawn =
        random_.NextBelow(static_cast<std::uint32_t>(nodes_.size()));
    if (drawn != index && std::ranges::find(targets, drawn) == targets.end()) {
      targets.push_back(drawn);
      Send(index, drawn, report);
    }
  }
}

void gossip_fleet::Send(std::size_t from,
                        std::size_t to,
                        const peer_report& report) {
  node& self = nodes_[from];
  peer_report named = report;
  named.name = Name(from);
  named.address = named.name;
  std::string message = EncodePeerReport(named);
  ++self.traffic.datagrams;
  self.traffic.datagram_bytes += message.size();
  if (random_.NextUnit() < options_.loss || nodes_[to].group != self.group) {
    return;
  }
  OnNode(
      to, now_ + self.send_delay + DrawDelay(),
      [this, to, message = std::move(message)] { HandleMessage(to, message); });
}

void gossip_fleet::HandleMessage(std::size_t index,
                                 const std::string& message,
                                 std::optional<time_point> fetched_at) {
  const auto report = DecodePeerReport(message);
  if (!report) {
    return;
  }
  node& self = nodes_[index];
  if (report->content == report_content::kNewsQuestion) {
    peer_report answer;
    answer.content = report_content::kNews;
    answer.news = self.gossip->AnswerTo(report->asked_at, now_);
    answer.news->fetch_address = Name(index);
    Send(index, Index(report->address), answer);
    return;
  }
  store_news news = *report->news;
  if (fetched_at) {
    news.asked_at = fetched_at;
  }
  if (news.document && self.manifest_version < news.manifest_version) {
    self.manifest_version = news.manifest_version;
    self.gossip->RecordManifest(self.manifest_version, now_);
  }
  std::vector<upstream_change> newer;
  if (EraOf(news.through) >= EraOf(self.gossip->through())) {
    newer = news.whole
                ? self.upstreams->ApplyList(news.through, news.changes, now_)
                : self.upstreams->ApplyChanges(news.changes, now_);
  }
  const auto action = self.gossip->Take(news, newer, now_);
  if (action == store_gossip::next_action::kFetch && !fetched_at &&
      !self.fetching) {
    Fetch(index, Index(news.fetch_address));
  } else if (action == store_gossip::next_action::kAsk) {
    peer_report question;
    question.content = report_content::kNewsQuestion;
    question.asked_at = now_;
    Send(index, Index(report->address), question);
  }
  Spread(index);
}

void gossip_fleet::Fetch(std::size_t index, std::size_t from) {
  node& self = nodes_[index];
  self.fetching = true;
  ++self.traffic.fetches;
  const time_point asked_at = now_;
  const std::uint64_t through = self.gossip->through();
  const std::uint64_t version = self.manifest_version;
  // Ends an unanswered request.
  OnNode(index, now_ + self.gossip->fetch_timeout(),
         [this, index] { nodes_[index].fetching = false; });
  if (nodes_[from].group != self.group) {
    return;
  }
  OnNode(from, now_ + DrawDelay(),
         [this, index, from, through, version, asked_at, life = self.life] {
           node& sender = nodes_[from];
           peer_report report;
           report.name = Name(from);
           report.content = report_content::kNews;
           report.news = sender.gossip->NewsAfter(through, now_);
           if (version < sender.manifest_version) {
             report.news->document = {1, "{}"};
           }
           const std::string message = EncodePeerReport(report);
           OnNode(index, now_ + sender.send_delay + DrawDelay(),
                  [this, index, message, asked_at, life] {
                    node& receiver = nodes_[index];
                    if (receiver.life == life && receiver.fetching) {
                      receiver.fetching = false;
                      HandleMessage(index, message, asked_at);
                    }
                  });
         });
}

bool gossip_fleet::AllHaveManifest() const {
  return std::ranges::all_of(nodes_, [&](const node& each) {
    return !Runs(each) || each.manifest_version == store_.manifest_version;
  });
}

std::size_t gossip_fleet::CountHavingManifest() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(nodes_, [&](const node& each) {
        return Runs(each) && each.manifest_version == store_.manifest_version;
      }));
}

bool gossip_fleet::AllUse(std::size_t upstream, bool used) const {
  const std::string id = UpstreamId(upstream);
  return std::ranges::all_of(nodes_, [&](const node& each) {
    const pooled_upstream* known =
        each.builder == nullptr ? nullptr : each.builder->Find(id);
    const bool uses = known != nullptr && !known->leaving();
    return !Runs(each) || uses == used;
  });
}

bool gossip_fleet::NoneInDoubt() const {
  return std::ranges::none_of(nodes_, [&](const node& each) {
    return Runs(each) && each.gossip->ManifestValidUntil().Expired(now_);
  });
}

bool gossip_fleet::AllInDoubt() const {
  return std::ranges::all_of(nodes_, [&](const node& each) {
    return !Runs(each) || each.gossip->ManifestValidUntil().Expired(now_);
  });
}

duration gossip_fleet::LargestAge() const {
  duration largest{0};
  for (const node& each : nodes_) {
    if (Runs(each) && each.gossip->confirmed_at()) {
      largest = std::max(largest, now_ - *each.gossip->confirmed_at());
    }
  }
  return largest;
}

void gossip_fleet::SweepUpstreams() {
  for (node& each : nodes_) {
    if (Runs(each) && each.upstreams != nullptr) {
      each.upstreams->Sweep(now_);
    }
  }
}

void gossip_fleet::CheckSoundness() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const node& each = nodes_[i];
    if (!Runs(each) || each.manifest_version == 0 ||
        each.gossip->ManifestValidUntil().Expired(now_)) {
      continue;
    }
    const auto newer = manifest_written_.upper_bound(each.manifest_version);
    if (newer != manifest_written_.end() &&
        newer->second + options_.apply_time < now_) {
      if (unsound_++ == 0) {
        first_unsound_ = "instance " + std::to_string(i) + " trusts version " +
                         std::to_string(each.manifest_version) + ", " +
                         std::to_string((now_ - newer->second).count()) +
                         " us after a newer one was written";
      }
    }
  }
}

void gossip_fleet::ResetTraffic() {
  for (node& each : nodes_) {
    each.traffic = {};
  }
  reads_.clear();
}

gossip_traffic gossip_fleet::LargestTraffic() const {
  gossip_traffic largest;
  for (const node& each : nodes_) {
    largest.datagrams = std::max(largest.datagrams, each.traffic.datagrams);
    largest.datagram_bytes =
        std::max(largest.datagram_bytes, each.traffic.datagram_bytes);
    largest.fetches = std::max(largest.fetches, each.traffic.fetches);
    largest.store_reads =
        std::max(largest.store_reads, each.traffic.store_reads);
  }
  return largest;
}

std::uint64_t gossip_fleet::StoreReads() const {
  std::uint64_t sum = 0;
  for (const node& each : nodes_) {
    sum += each.traffic.store_reads;
  }
  return sum;
}

std::size_t gossip_fleet::LargestReadBurst() const {
  std::size_t largest = 0;
  for (auto first = reads_.begin(), last = reads_.begin(); last != reads_.end();
       ++last) {
    while (*last - *first > kReadBurst) {
      ++first;
    }
    largest = std::max(largest, static_cast<std::size_t>(last - first) + 1);
  }
  return largest;
}

}  // namespace anvilloom
