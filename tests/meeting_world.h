// Whole controllers round one state service, in virtual time, with the troubles that
// LATER.md lets meet: a state service that refuses one or all or lands transactions late,
// cuts between controllers in either direction, controllers that end, return or stand
// still, workers with leases that are deaf or whose messages are held up. The rules are
// checked after each second.
#pragma once

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "app/job_api.h"
#include "app/membership.h"
#include "app/report_desk.h"
#include "cover/announcer.h"
#include "cover/cover_keeper.h"
#include "fake_store.h"
#include "fake_worker.h"
#include "made_job.h"
#include "state/plan_writer.h"
#include "state/records.h"
#include "wire/codec.h"

namespace magpie::testing {

inline constexpr Seconds kMeetingLease{20};
inline constexpr Seconds kMeetingCancel{45};
inline constexpr Seconds kMeetingReport{3};
inline constexpr Seconds kMeetingLeaderLease{4};
inline constexpr double kMeetingLimit = 8;  // CPUs of the team "blue"

// One controller's way to the state service.
class Door : public Store {
 public:
  Door(FakeStore& store, const Instant& now) : store_(store), now_(now) {}
  bool refused = false;
  // Whether the next call is one too many (429): for one that changes nothing by itself.
  std::function<bool()> over_rate = [] { return false; };
  std::map<std::uint64_t, Instant> touched;  // leases granted through here

  bool open() const { return !refused && !store_.outage; }
  GetResult Get(const std::string& key) override {
    return No() ? GetResult{StoreEnd::kRefused, std::nullopt} : store_.Get(key);
  }
  RangeResult Range(const std::string& prefix, const std::string& after,
                    std::uint32_t page) override {
    if (!No()) return store_.Range(prefix, after, page);
    RangeResult result;
    result.end = StoreEnd::kRefused;
    return result;
  }
  TxnResult Commit(const Transaction& txn) override {
    const bool too_many = over_rate();
    return refused || too_many ? TxnResult{StoreEnd::kRefused, {}, {}, too_many}
                               : store_.Commit(txn);
  }
  LeaseResult Grant(Seconds life) override {
    if (No()) return {StoreEnd::kRefused, {}};
    const LeaseResult result = store_.Grant(life);
    if (result.end == StoreEnd::kOk) touched[result.lease.v] = now_;
    return result;
  }
  StoreEnd Touch(LeaseId lease) override {
    if (No()) return StoreEnd::kRefused;
    const StoreEnd end = store_.Touch(lease);
    if (end == StoreEnd::kOk) touched[lease.v] = now_;
    return end;
  }
  WatchResult Watch(const std::string& prefix, Stamp after, Seconds block) override {
    return No() ? WatchResult{StoreEnd::kRefused, false, {}, {}}
                : store_.Watch(prefix, after, block);
  }

 private:
  bool No() { return refused || over_rate(); }

  FakeStore& store_;
  const Instant& now_;
};

class MeetingWorld;

// One run of a controller's process: what Controller does, without threads.
class Process {
 public:
  Process(MeetingWorld& world, std::string label, const std::string& nonce);

  void Step();
  std::string label;
  Door door;
  std::mutex mutex;
  Membership membership;
  Scheduler core;
  Fitness fitness{kMeetingReport};
  JobApi api;
  CoverKeeper cover;
  Announcer announcer;
  ReportDesk desk;

 private:
  void Adopt();
  bool Load();
  void Follow();
  void Write();
  void Push();
  void Cloud();

  MeetingWorld& world_;
  PlanWriter writer_;
  std::optional<records::Leadership> leadership_;
  std::optional<records::Leadership> retired_;  // the latest that was given up for good
  std::string leader_;
  Stamp epoch_;
  Stamp followed_;
  Instant reached_;
  bool cut_off_ = false;
};

// How the cover is broken on purpose, to show that the check can fail.
enum class Broken {
  kNot,
  kNobodyIsAsked,      // users are told as soon as it is durable
  kOneIsEnough,        // of the other controllers
  kForgetsWhatItSaid,  // a controller says that it knows, and takes nothing in
};

class MeetingWorld {
 public:
  explicit MeetingWorld(Broken how = Broken::kNot, int controllers = 3, int workers = 4,
                        std::size_t page_bytes = 15UL * 1024)
      : broken(how), page_bytes(page_bytes) {
    for (int i = 0; i < controllers; ++i) labels.push_back("n" + std::to_string(i));
    for (const std::string& label : labels) Start(label);
    for (int i = 0; i < workers; ++i) {
      Machine& m = machines.emplace_back("m-" + std::to_string(i), "small", i % 2 == 0 ? "a" : "b");
      m.next_report = now + Seconds{0.5 * i};
      m.renewed = now;
    }
  }

  struct Machine {
    Machine(const std::string& name, const std::string& type, const std::string& zone)
        : worker(name, type, zone) {}
    FakeWorker worker;
    std::size_t home = 0;
    Instant next_report;
    Instant renewed;  // when the last answered report was sent
    bool deaf = false;
    bool mute = false;            // its reports reach nobody; commands reach it
    bool cut = false;             // nothing reaches it or comes from it
    bool gone = false;            // died or returned
    std::optional<Instant> died;  // stays in the cloud's list
    bool slow = false;            // its reports take three seconds to be looked at
    std::optional<std::pair<Instant, std::string>> on_its_way;
    int leases_lost = 0;
    std::deque<std::string> said;  // its latest reports
    bool Hears() const { return !gone && !deaf && !cut; }
  };

  // --- controllers
  void Start(const std::string& label) {
    runs[label] = std::make_unique<Process>(*this, label, label + "-" + std::to_string(++nonces));
  }
  void End(const std::string& label) {
    if (auto it = runs.find(label); it != runs.end()) {
      for (const auto& [lease, at] : it->second->door.touched) orphans[lease] = at;
      runs.erase(it);
    }
  }
  bool Up(const std::string& label) const { return runs.contains(label) && !Still(label); }
  bool Still(const std::string& label) const {
    const auto it = still_until.find(label);
    return it != still_until.end() && now < it->second;
  }
  std::string Leader() const {
    for (const auto& [label, run] : runs)
      if (run->core.loaded()) return label;
    return {};
  }
  bool Reaches(const std::string& from, const std::string& to) const {
    return !cuts.contains({from, to});
  }

  // --- users
  // Odd things that the seed gives a job: its team and its zone rules.
  std::map<std::string, std::function<void(JobSpec&)>> odd;
  JobSpec Spec(const std::string& job, std::uint32_t tasks) const {
    JobSpec spec = MakeJob(job, tasks);
    spec.spot = false;
    if (const auto it = odd.find(job); it != odd.end()) it->second(spec);
    return spec;
  }
  bool Submit(const std::string& job, std::uint32_t tasks, const std::string& via) {
    if (!Up(via)) return false;
    // No time passes in here, so that a submission could not wait for its turn.
    Process& run = *runs.at(via);
    const auto over_rate = std::exchange(run.door.over_rate, [] { return false; });
    const int status = run.api.Submit(wire::JobToRecord(Spec(job, tasks)).dump()).status;
    run.door.over_rate = over_rate;
    if (status == 200 || status == 201) jobs[job] = tasks;
    return status == 200 || status == 201;
  }
  // What the user is told; empty: nothing.
  std::string Tell(const std::string& job, const HttpResponse& response) {
    if (response.status == 404 && jobs.contains(job)) broken_rules.insert("forgotten");
    if (response.status != 200) return {};
    const std::string mood = wire::Json::parse(response.body).at("mood").get<std::string>();
    if (told.contains(job) && mood != "withdrawn") broken_rules.insert("went_back");
    if (mood == "withdrawn") {
      if (!asked.contains(job)) broken_rules.insert("went_back");
      told.try_emplace(job, now);
    }
    if (mood == "done") {
      for (std::uint32_t i = 0; i < jobs[job]; ++i)
        if (!completed.contains({{job}, i})) broken_rules.insert("not_done");
      done.insert(job);
    } else if (done.contains(job)) {
      broken_rules.insert("went_back");
    }
    return mood;
  }
  std::string Cancel(const std::string& job, const std::string& via) {
    if (!Up(via)) return {};
    asked.insert(job);
    return Tell(job, runs.at(via)->api.Cancel(job));
  }
  std::string Poll(const std::string& job, const std::string& via) {
    return Up(via) ? Tell(job, runs.at(via)->api.Query(job)) : std::string{};
  }

  // --- time
  void Second() {
    now = now + Seconds{1};
    wall.v += 1;
    ExpireLeases();
    while (!late_writes.empty() && late_writes.front() <= now) {
      late_writes.pop_front();
      if (store.holds_back()) store.Deliver();
    }
    for (const std::string& label : labels)
      if (Up(label)) runs.at(label)->Step();
    OldWords();
    for (auto it = held_pushes.begin(); it != held_pushes.end();) {
      if (now < it->first) {
        ++it;
        continue;
      }
      if (Machine* m = Find(it->second.machine); m != nullptr && m->Hears()) {
        m->worker.Take(it->second);
        Check();
      }
      it = held_pushes.erase(it);
    }
    for (auto it = copies.begin(); it != copies.end();) {
      const auto& [when, where, what] = *it;
      if (now < when) {
        ++it;
        continue;
      }
      if (Up(where)) runs.at(where)->desk.Handle(what, false);  // nobody hears the answer
      it = copies.erase(it);
    }
    for (Machine& m : machines) Work(m);
    Check();
  }
  void Pass(int seconds) {
    for (int i = 0; i < seconds; ++i) Second();
  }

  Machine* Find(const MachineId& id) {
    for (Machine& m : machines)
      if (m.worker.id() == id) return &m;
    return nullptr;
  }
  std::size_t Live(const std::string& job) const {
    std::size_t n = 0;
    for (const Machine& m : machines)
      for (std::uint32_t i = 0; !m.gone && i < jobs.at(job); ++i)
        n += m.worker.Has({{job}, i}) ? 1 : 0;
    return n;
  }
  int LeasesLost() const {
    int n = 0;
    for (const Machine& m : machines) n += m.leases_lost;
    return n;
  }

  // The rules, from the workers' side.
  void Check() {
    std::set<TaskId> live;
    std::map<std::string, double> use;
    std::map<std::string, std::map<std::string, std::uint32_t>> in_zone;
    for (const Machine& m : machines) {
      if (m.gone) continue;
      for (const TaskReport& t : m.worker.tasks()) {
        if (t.mood == TaskMood::kEnded) continue;
        const std::string& job = t.task.job.v;
        if (!live.insert(t.task).second) broken_rules.insert("ran_twice");
        if (!odd.contains(job)) continue;
        const JobSpec spec = Spec(job, jobs[job]);
        use[spec.team] += spec.each.cpus;
        const std::uint32_t here = ++in_zone[job][m.worker.zone()];
        if (here > MostPerZone(spec) || (spec.together && in_zone[job].size() > 1))
          broken_rules.insert("wrong_place");
      }
    }
    if (use["blue"] > kMeetingLimit) broken_rules.insert("quota");
    for (const auto& [job, at] : told)
      if (now - at > kMeetingCancel && Live(job) > 0) broken_rules.insert("ran_cancelled");
  }

  Broken broken;
  std::size_t page_bytes;  // that a page of records may take
  FakeStore store;
  Instant now{100};
  WallTime wall{1000};
  std::vector<std::string> labels;
  std::map<std::string, std::unique_ptr<Process>> runs;
  std::map<std::string, Instant> still_until;
  std::map<std::uint64_t, Instant> orphans;            // leases of runs that ended
  std::set<std::pair<std::string, std::string>> cuts;  // messages from one to the other
  std::list<Machine> machines;
  std::map<std::string, std::uint32_t> jobs;
  std::set<std::string> asked;
  std::set<std::string> done;
  std::map<std::string, Instant> told;
  std::set<TaskId> completed;
  std::set<std::string> broken_rules;
  std::list<std::pair<Instant, magpie::Push>> held_pushes;
  std::deque<Instant> late_writes;
  // Whether the next direct command is held up, and until when.
  std::function<std::optional<Instant>()> hold_push = [] { return std::nullopt; };
  // Whether a copy of this report arrives once more, when and where.
  std::function<std::optional<std::pair<Instant, std::string>>()> copy_report = [] {
    return std::nullopt;
  };
  std::list<std::tuple<Instant, std::string, std::string>> copies;  // when, where, what
  // Which of so many earlier reports of a machine is the first word that a new leader hears
  // of it; none: its own next one.
  std::function<std::optional<std::size_t>(std::size_t)> first_word = [](std::size_t) {
    return std::nullopt;
  };
  int nonces = 0;
  int stale = 0;  // how often a leader's books of its pages were wrong

 private:
  void OldWords() {
    const std::string leader = Leader();
    const Process* now_leads = leader.empty() ? nullptr : runs.at(leader).get();
    if (now_leads == last_leader_ || now_leads == nullptr) return;
    last_leader_ = now_leads;
    for (Machine& m : machines)
      if (const auto which = first_word(m.said.size()); which && *which < m.said.size() && !m.gone)
        runs.at(leader)->desk.Handle(m.said[*which], false);
  }

  const Process* last_leader_ = nullptr;

  void ExpireLeases() {
    // Once an outage ends, every lease has its full time again.
    if (store.outage) {
      for (auto& [label, run] : runs)
        for (auto& [lease, at] : run->door.touched) at = now;
      for (auto& [lease, at] : orphans) at = now;
      return;
    }
    const auto expire = [&](std::map<std::uint64_t, Instant>& leases) {
      for (auto it = leases.begin(); it != leases.end();) {
        if (now - it->second <= kMeetingLeaderLease) {
          ++it;
          continue;
        }
        store.EndLease({it->first});
        it = leases.erase(it);
      }
    };
    for (auto& [label, run] : runs) expire(run->door.touched);
    expire(orphans);
  }

  // A worker's second: its lease, and its report when it is due.
  void Work(Machine& m) {
    if (m.gone) return;
    if (now - m.renewed > kMeetingLease) {
      if (m.worker.Live() > 0) ++m.leases_lost;
      m.worker.LeaseEnds();
      m.renewed = now;
      m.on_its_way.reset();
    }
    if (m.on_its_way) {
      if (now - m.on_its_way->first < Seconds{3}) return;
      Deliver(m, m.on_its_way->first, std::exchange(m.on_its_way, std::nullopt)->second);
      return;
    }
    if (now < m.next_report) return;
    m.next_report = now + kMeetingReport;
    const std::string body = wire::ReportToJson(m.worker.Snapshot()).dump();
    m.said.push_back(body);
    if (m.said.size() > 12) m.said.pop_front();
    if (const auto copy = copy_report()) copies.emplace_back(copy->first, copy->second, body);
    if (m.slow)
      m.on_its_way = {now, body};
    else
      Deliver(m, now, body);
  }

  void Deliver(Machine& m, Instant sent, const std::string& body) {
    const std::string& home = labels[m.home];
    const auto next = [&] {
      m.home = (m.home + 1) % labels.size();
      m.next_report = std::min(m.next_report, now + Seconds{1});
    };
    if (!Up(home) || m.mute || m.cut) return next();
    const HttpResponse response = runs.at(home)->desk.Handle(body, false);
    if (m.deaf) return next();
    if (response.status == 200) {
      const wire::Json answer = wire::Json::parse(response.body);
      Reply reply;
      reply.token = {answer.at("crest").get<std::uint64_t>()};
      reply.commands = wire::CommandsFromJson(answer.at("calls"));
      if (m.worker.Take(reply)) m.renewed = sent;
      Check();
      return;
    }
    if (response.status == 421) {
      const wire::Json answer = wire::Json::parse(response.body);
      const auto it = std::find(labels.begin(), labels.end(), answer.value("home_roost", ""));
      if (it != labels.end() && *it != home) {
        m.home = static_cast<std::size_t>(it - labels.begin());
        m.next_report = now + Seconds{0.5};
        return;
      }
    }
    next();
  }
};

inline std::vector<std::string> Others(const MeetingWorld& world, const std::string& label) {
  std::vector<std::string> others;
  for (const std::string& other : world.labels)
    if (other != label) others.push_back(other);
  return others;
}

// Whom a controller asks before it tells.
inline std::vector<std::string> Asked(const MeetingWorld& world, const std::string& label) {
  std::vector<std::string> others = Others(world, label);
  if (world.broken == Broken::kOneIsEnough) others = {others.back()};
  return others;
}

inline Scheduler::Options MeetingOptions() {
  Scheduler::Options o;
  o.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, kMeetingLimit, 0, 0}};
  o.headroom = 0;
  o.report = kMeetingReport;
  o.lease = kMeetingLease;
  o.cancel = kMeetingCancel;
  return o;
}

inline std::vector<MachineType> MeetingTypes() {
  return {{"small", {8, 0, 32}, 30, 1, 0.2, 0.1, {20}, {"a", "b"}}};
}

inline Process::Process(MeetingWorld& world, std::string name, const std::string& nonce)
    : label(std::move(name)),
      door(world.store, world.now),
      membership(door, label, nonce, kMeetingLeaderLease),
      core(
          [&world] {
            Scheduler::Options o = MeetingOptions();
            o.most_page_bytes = world.page_bytes;
            return o;
          }(),
          {}),
      api(door, MeetingOptions().teams, {"a", "b"}, Seconds{0}, {},
          {[] { return MeetingTypes(); }, [this](const JobId& id) { return core.Counts(id); },
           [&world] { return world.wall; }, [](Seconds) {}, [&world] { return world.now; },
           [this](const JobId& id, Stamp stamp) {
             const bool all = announcer.Announce(id, stamp);
             return all || world_.broken == Broken::kNobodyIsAsked;
           }}),
      cover(api.mirror(),
            [this](const JobMirror::Cancellation& c) {
              std::lock_guard lock(mutex);
              if (core.leading()) core.Cancelled(c.job, c.stamp);
            }),
      announcer({Asked(world, label), !Announcer::LeavesRoom(kMeetingLease, kMeetingCancel)},
                {[&world] { return world.now; },
                 [this](const std::string& to, const JobId& job, Stamp stamp) {
                   if (world_.broken == Broken::kNobodyIsAsked) return false;
                   if (!world_.Reaches(label, to) || !world_.Up(to)) return false;
                   const std::string text = CoverKeeper::Announcement({job, stamp});
                   if (world_.broken != Broken::kForgetsWhatItSaid &&
                       !world_.runs.at(to)->cover.TakeIn(text))
                     return false;
                   return world_.Reaches(to, label);
                 },
                 [this](const JobId& job, Stamp stamp) {
                   return cover.TakeIn(JobMirror::Cancellation{job, stamp});
                 }}),
      desk({kMeetingLease, kMeetingLeaderLease,
            [&] {
              const auto others = Others(world, label);
              return std::set<std::string>(others.begin(), others.end());
            }()},
           mutex, core, fitness, cover,
           {[&world] { return world.now; },
            [this] {
              return ReportDesk::Around{leader_, epoch_, cut_off_};
            },
            [] {}, [] {},
            [this](const std::string& to, const std::string& body) -> HttpAnswer {
              if (!world_.Up(to)) return {false, false, 0, {}, world_.Still(to)};
              if (!world_.Reaches(label, to)) return {false, false, 0, {}, true};
              const HttpResponse r = world_.runs.at(to)->desk.Handle(body, true);
              if (!world_.Reaches(to, label)) return {true, false, 0, {}, true};
              return {true, true, r.status, r.body};
            }}),
      world_(world),
      writer_(door, {[this] { return door.open() && leadership_.has_value(); }, [](Seconds) {}}) {
  core.SetTypes(MeetingTypes());
}

inline void Process::Adopt() {
  const Membership::View& view = membership.Step();
  cut_off_ = !view.reached;
  if (!view.reached) return;
  reached_ = world_.now;
  if (leader_ != view.leader) desk.LeaderChanged();
  leader_ = view.leader;
  epoch_ = view.epoch;
  if (view.leadership && view.leadership == retired_) return;
  if (view.leadership == leadership_) return;
  core.Stop();
  leadership_ = view.leadership;
  if (leadership_)
    core.Start(leadership_->epoch, label + "-" + std::to_string(leadership_->epoch.v) + "-",
               world_.now);
}

inline bool Process::Load() {
  followed_ = {};
  for (const char* prefix : {records::kJobs, records::kBlocks, records::kPages}) {
    const RangeResult range = door.Range(prefix, "", 100000);
    if (range.end != StoreEnd::kOk) return false;
    if (followed_.v == 0) followed_ = range.tick;
    for (const StoreEntry& e : range.entries) {
      if (prefix == records::kJobs) {
        const auto record = records::JobFromJson(e.value);
        core.LoadJob(record.spec, record.over(), e.stamp);
      } else {
        const PageKey key = *records::ParsePageKey(e.key);
        core.LoadPage(key, records::PageFromJson(key, e.value), e.stamp);
      }
    }
  }
  const Transaction still_leading{
      {{records::kLeader, leadership_->leader}, {records::kEpoch, leadership_->epoch}}, {}};
  if (door.Commit(still_leading).end != StoreEnd::kOk) return false;
  core.FinishLoad(world_.now);
  return true;
}

inline void Process::Follow() {
  const WatchResult watch = door.Watch(records::kJobs, followed_, {});
  if (watch.end != StoreEnd::kOk) return;
  followed_ = watch.tick;
  for (const WatchEvent& e : watch.events) {
    if (!e.value) {
      core.JobGone({e.key.substr(2)}, e.stamp);
      continue;
    }
    const auto record = records::JobFromJson(*e.value);
    core.LoadJob(record.spec, record.over(), e.stamp);
  }
}

inline void Process::Write() {
  for (int i = 0; i < 4 && door.open(); ++i) {
    const WritePlan plan = core.NextWrite(world_.now);
    if (plan.empty()) return;
    const WriteOutcome outcome = writer_.Write(plan, *leadership_);
    if (outcome.deposed || outcome.stale) {  // as Controller::Retire
      core.Stop();
      retired_ = std::exchange(leadership_, std::nullopt);
      if (outcome.stale) {
        ++world_.stale;
        membership.StepAside();
      }
      return;
    }
    if (outcome.end == WriteOutcome::End::kWritten) {
      core.OnWritten(plan, outcome.stamp, world_.now);
    } else if (outcome.end == WriteOutcome::End::kRejected) {
      for (const auto& job : outcome.reloaded)
        core.LoadJob(job.record.spec, job.record.over(), job.stamp);
      core.OnWriteRejected(plan);
    }
  }
}

inline void Process::Push() {
  const auto send = [&](magpie::Push push) {
    cover.Screen(push);
    MeetingWorld::Machine* m = world_.Find(push.machine);
    if (m == nullptr || !m->Hears()) {
      core.OnPushEnd(push, PushEnd::kUnknown, std::nullopt, world_.now);
      return;
    }
    if (const auto until = world_.hold_push()) {
      world_.held_pushes.emplace_back(*until, push);
      core.OnPushEnd(push, PushEnd::kUnknown, std::nullopt, world_.now);
      return;
    }
    m->worker.Take(push);
    world_.Check();
    core.OnPushEnd(push, PushEnd::kAnswered, m->worker.Snapshot(), world_.now);
  };
  core.AllowStarts(cover.Covers());
  while (auto push = core.NextPush(world_.now)) send(*push);
  for (int i = 0; i < 8; ++i) {
    const auto probe = core.NextProbe(world_.now);
    if (!probe) break;
    send(*probe);
  }
}

inline void Process::Cloud() {
  // As CloudLoop: a leader that the state service does not answer returns nothing.
  if (world_.now - reached_ >= kMeetingLeaderLease) return;
  for (int i = 0; i < 8; ++i) {
    const auto call = core.NextCloudCall(world_.now);
    if (!call) return;
    if (call->kind == CloudCall::Kind::kList) {
      std::vector<ListedMachine> listed;
      for (const auto& m : world_.machines)
        if (!m.gone || m.died)
          listed.push_back({m.worker.id(),
                            "127.0.0.1:1",
                            "small",
                            m.worker.zone(),
                            false,
                            m.died && world_.now - *m.died > Seconds{30}
                                ? ListedMachine::Mood::kFailed
                                : ListedMachine::Mood::kRunning,
                            {100}});
      core.OnList(listed, world_.now);
    } else if (call->kind == CloudCall::Kind::kRelease) {
      for (const MachineId& id : call->release)
        if (auto* m = world_.Find(id)) {
          m->gone = true;
          m->died.reset();
        }
      core.OnReleased(*call, world_.now);
    } else {
      core.OnRentRefused(*call, world_.now);
    }
  }
}

inline void Process::Step() {
  Adopt();
  cover.Step();
  if (!leadership_) return;
  if (!core.loaded() && !Load()) return;
  Follow();
  core.Tick(world_.now, world_.wall);
  Write();
  Push();
  Cloud();
}

}  // namespace magpie::testing
