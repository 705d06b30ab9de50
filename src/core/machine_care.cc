#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "core/scheduler.h"

namespace magpie {
namespace {
constexpr std::size_t kGoneRemembered = 4096;
constexpr double kReportsAtLeast = 2.5;  // unheard, before a lone machine is given up
constexpr double kOverrun = 2.5;         // in expected run times, for tasks that have not ended yet

std::size_t NumberOf(const MachineId& id) { return std::hash<std::string>{}(id.v); }
}  // namespace

void Scheduler::MachineGone(const MachineId& id, Instant now) {
  if (gone_.insert(id).second) {
    gone_order_.push_back(id);
    if (gone_order_.size() > kGoneRemembered) {
      gone_.erase(gone_order_.front());
      gone_order_.pop_front();
    }
  }
  blame_.Forget(id);
  Machine* m = FindMachine(id);
  if (m == nullptr) return;
  if (m->recorded) --unsquared_;
  const std::vector<Held> tasks = m->tasks;
  for (const Held& held : tasks) {
    AttemptOver(*held.job, held.index, now);
    if (held.task().machine != nullptr) Unbind(*held.job, held.index, now);  // its end is known
  }
  roster_.Leave(*m);
  to_return_.erase(id);
  by_id_.erase(id);
  machines_.erase(id);
  Touch();
}

void Scheduler::Return(Machine& m) {
  m.releasing = true;
  to_return_.insert(m.id);
  Touch();
}

std::optional<CloudCall> Scheduler::NextCloudCall(Instant now) {
  if (!loaded_) return std::nullopt;
  if (!cloud_queue_.empty()) {
    CloudCall call = std::move(cloud_queue_.front());
    cloud_queue_.pop_front();
    return call;
  }
  CloudCall release;
  release.kind = CloudCall::Kind::kRelease;
  constexpr std::size_t kMostReleased = 100;
  while (!to_return_.empty() && release.release.size() < kMostReleased)
    release.release.push_back(to_return_.extract(to_return_.begin()).value());
  if (!release.release.empty()) return release;
  if (!list_open_ && now >= list_next_) {
    list_open_ = true;
    return CloudCall{};
  }
  return std::nullopt;
}

void Scheduler::OnRented(const CloudCall& call, const std::vector<MachineId>& machines,
                         Instant now) {
  if (!loaded_ || !call.order.name.starts_with(rental_prefix_)) return;
  renting_.erase(call.order.name);
  for (const MachineId& id : machines) {
    if (gone_.contains(id)) continue;
    Machine& m = Meet(id, now);
    if (m.up) continue;
    m.type = call.order.kind.type;
    m.zone = call.order.kind.zone;
    m.spot = call.order.kind.spot;
    m.kind.reset();
    m.ordered = true;
  }
  Touch();
  if (machines.size() < call.order.count)
    fleet_.Refused(call.order.kind, CountKind(call.order.kind), now);
}

void Scheduler::OnRentRefused(const CloudCall& call, Instant now) {
  renting_.erase(call.order.name);
  fleet_.Refused(call.order.kind, CountKind(call.order.kind), now);
  fleet_next_ = now;
  Touch();
}

int Scheduler::CountKind(const MachineKind& kind) const {
  int n = 0;
  for (const auto& [id, m] : machines_)
    n += m->type == kind.type && m->zone == kind.zone && m->spot == kind.spot ? 1 : 0;
  return n;
}

void Scheduler::OnRentUnknown(const CloudCall& call) {
  if (!loaded_ || !call.order.name.starts_with(rental_prefix_)) return;
  cloud_queue_.push_back(call);  // the same name brings the same machines
}

void Scheduler::OnReleased(const CloudCall& call, Instant now) {
  if (!loaded_) return;
  for (const MachineId& id : call.release) MachineGone(id, now);
}

void Scheduler::OnReleaseUnknown(const CloudCall& call) {
  for (const MachineId& id : call.release)
    if (FindMachine(id) != nullptr) to_return_.insert(id);
}

void Scheduler::OnList(const std::vector<ListedMachine>& machines, Instant now) {
  list_open_ = false;
  list_next_ = now + options_.list_every;
  if (!loaded_) return;
  if (!std::exchange(list_seen_, true)) Touch();
  for (const ListedMachine& listed : machines) {
    if (gone_.contains(listed.id)) continue;
    const bool known = FindMachine(listed.id) != nullptr;
    Machine& m = Meet(listed.id, now);
    if (!known) m.born = now - listed.age;
    if (m.type.empty()) {
      m.type = listed.type;
      m.spot = listed.spot;
      m.kind.reset();
      if (m.zone.empty()) m.zone = listed.zone;
      m.born = now - listed.age;
      Touch();
    }
    if (m.addr.empty()) m.addr = listed.addr;
    m.listed_running = listed.mood == ListedMachine::Mood::kRunning;
    if (listed.mood == ListedMachine::Mood::kFailed && !m.releasing) {
      m.listed_failed = true;
      Return(m);
    }
  }
}

void Scheduler::OnListFailed(Instant now) {
  list_open_ = false;
  list_next_ = now + options_.list_every;
}

void Scheduler::ReturnIdle(const Plan& plan, Instant now) {
  for (const Slot& slot : plan.slots) {
    if (slot.machine == nullptr || slot.needed) continue;
    Machine& m = *slot.machine;
    if (!m.up || !m.tasks.empty()) continue;
    if (now - m.idle_since > options_.idle && now - m.born > options_.least_age &&
        now - loaded_at_ > options_.idle)
      Return(m);
  }
}

void Scheduler::LearnRunTime(const Machine& m, Job& job, Seconds took) {
  if (job.spec.estimate.v <= 0) return;
  table_.Learn(job.spec, m.type, took);
  job.pace.Add(NumberOf(m.id), took.v / job.spec.estimate.v);
}

// A machine whose tasks all take far longer than expected is slow: it gets no
// more, and what can be saved moves on. One long task proves nothing, nor do
// several of one job that is longer than its owner thought: each counts if
// tasks of its job took less elsewhere, and otherwise one for each job.
void Scheduler::NotePace(Machine& m, const Job& job, Seconds took, bool ended) {
  constexpr std::size_t kEnough = 3;
  constexpr double kSlow = 2;
  if (job.spec.estimate.v <= 0) return;
  const auto elsewhere = job.pace.Elsewhere(NumberOf(m.id));
  const double expected =
      elsewhere ? *elsewhere * job.spec.estimate.v : table_.Expect(job.spec, m.type).v;
  const bool slow = took.v >= (ended ? kSlow : kOverrun) * expected;
  if (!ended && !slow) return;
  if (!elsewhere) std::erase_if(m.pace, [&](const auto& p) { return p.first == job.spec.id; });
  m.pace.emplace_back(job.spec.id, slow);
  if (m.pace.size() > kEnough) m.pace.pop_front();
  if (m.cordoned || m.pace.size() < kEnough ||
      !std::all_of(m.pace.begin(), m.pace.end(), [](const auto& p) { return p.second; }))
    return;
  m.cordoned = true;
  roster_.Watch(m);
  Touch();
  if (options_.notes) Note("slow " + m.id.v);
  LookSoon();
  for (const Held& held : m.tasks) {
    const JobSpec& spec = held.job->spec;
    if (spec.kind != JobKind::kArray || spec.checkpoint.v <= 0 || held.task().want_stop) continue;
    StopTask(held, spec.save + Seconds{1});
  }
  WantPush(m);
}

// Tasks that have not ended yet may already show that their machine is slow.
// Each is looked at when it reports, and when it is overdue as it was expected.
void Scheduler::ExpectEnd(Job& job, std::uint32_t index) {
  Task& t = job.tasks[index];
  NoLongerExpected(job, index);
  if (!t.timed || t.overran || t.machine == nullptr || job.spec.kind != JobKind::kArray) return;
  const Seconds expected = ExpectOn(job, *t.machine);
  if (expected.v <= 0) return;
  t.overdue = t.since + kOverrun * expected;
  overdue_.emplace(*t.overdue, &job, index);
}

void Scheduler::NoLongerExpected(Job& job, std::uint32_t index) {
  Task& t = job.tasks[index];
  if (t.overdue) overdue_.erase({*t.overdue, &job, index});
  t.overdue.reset();
}

void Scheduler::NoteOverrun(Job& job, std::uint32_t index, Instant now) {
  Task& t = job.tasks[index];
  if (!t.overdue || now - t.since < kOverrun * ExpectOn(job, *t.machine)) return;
  NoLongerExpected(job, index);
  t.overran = true;
  if (!t.machine->cordoned) NotePace(*t.machine, job, now - t.since, false);
}

void Scheduler::NoteOverruns(Instant now) {
  while (!overdue_.empty() && std::get<0>(*overdue_.begin()) <= now) {
    const auto [when, job, index] = *overdue_.begin();
    NoteOverrun(*job, index, now);
    if (job->tasks[index].overdue) ExpectEnd(*job, index);  // more is expected by now
    if (!overdue_.empty() && std::get<0>(*overdue_.begin()) == when) break;
  }
}

// What the fleet is planned with, from what came up and what is waited for.
void Scheduler::ExpectBoots(Instant now) {
  for (const Roster::Member* member : roster_.watched()) {
    const Machine& m = static_cast<const Machine&>(*member);
    if (!m.up && m.ordered) boots_.Waits(m.type, now - m.born);
  }
  for (const MachineType& type : fleet_.types())
    fleet_.SetBoot(type.name, boots_.Expect(type.name, now));
}

// Zones whose silence is more likely a cut than as many deaths: half of the
// machines are silent at once, or all have been for longer than so many could
// be by chance, or a good part of them is relayed while the others still look
// for a controller that reaches us.
std::set<std::string> Scheduler::ZonesInDoubt(Instant now) {
  constexpr double kRelayedReports = 2.5;
  constexpr int kPart = 8;
  constexpr double kManyTimes = 8;  // in mean gaps between two reports of the zone
  constexpr Seconds kLeastGap{2.5};
  roster_.Pass(now);
  std::map<std::string, std::uint32_t> relayed;
  for (const Roster::Member* member : roster_.watched()) {
    const Machine& m = static_cast<const Machine&>(*member);
    ++machines_looked_at_;
    if (m.relayed && now - m.heard < kRelayedReports * options_.report) ++relayed[m.zone];
  }
  std::set<std::string> doubt;
  for (const auto& [name, zone] : roster_.zones()) {
    if (zone.all == 0) continue;
    const bool half = zone.late > 1 && 2 * zone.late >= zone.all;
    const Seconds gap = std::max(kLeastGap, (kManyTimes / zone.all) * options_.report);
    const auto there = relayed.find(name);
    if (half || (zone.all > 1 && now - zone.heard > gap) ||
        (there != relayed.end() && kPart * there->second >= zone.all))
      doubt_until_[name] = now + 0.5 * options_.report;
    // It stays a while, so that probes can tell who is there after all.
    if (now < doubt_until_[name]) doubt.insert(name);
  }
  return doubt;
}

bool Scheduler::Ordinary(const Machine& m) const {
  return m.up && m.seen >= m.fence && !m.relayed && m.failed_probes == 0 && !m.cordoned &&
         !m.draining && !m.notice_until && !m.push_again && m.contrary == 0 && !m.mute;
}

// Looked at are those with something about them, and those unheard for longer
// than they may be.
void Scheduler::LookAfterMachines(Instant now) {
  const std::set<std::string> doubt = ZonesInDoubt(now);
  const auto& watched = roster_.watched();
  for (auto it = watched.begin(); it != watched.end();) {
    Machine& m = static_cast<Machine&>(**it++);
    if (Ordinary(m))
      roster_.Settled(m);
    else
      LookAt(m, doubt, now);
  }
  const Seconds least =
      std::min(2.0 * options_.report, std::max(options_.silent, kReportsAtLeast * options_.report));
  for (Roster::Member* member : roster_.late()) {
    if (now - member->heard <= least) break;
    LookAt(static_cast<Machine&>(*member), doubt, now);
  }
}

void Scheduler::LookAt(Machine& m, const std::set<std::string>& doubt, Instant now) {
  constexpr std::uint32_t kFailedProbes = 2;
  constexpr Seconds kLeastSilence{4};
  constexpr Seconds kCutLonger{80};
  constexpr Seconds kAfterFailure{0.3};  // reports may have been on their way
  ++machines_looked_at_;
  if (m.releasing) return;
  if (m.push_again && now >= m.push_after && !m.push_open) WantPush(m);
  // A machine cut off is left alone until its lease must have ended; longer in
  // zones where a controller of ours may go on renewing it.
  const Seconds lease_ended = std::max(options_.silent, options_.lease + 2.0 * options_.report);
  const Seconds lone = std::max(options_.silent, kReportsAtLeast * options_.report);
  const Seconds quiet = now - m.heard;
  const bool cut_off = doubt.contains(m.zone);
  const auto zone = roster_.zones().find(m.zone);
  Seconds patience = lone;
  // It does not answer either, and others of its zone are heard.
  const bool alone = !cut_off && m.failed_probes >= kFailedProbes &&
                     zone != roster_.zones().end() &&
                     zone->second.heard > m.failing_since + kAfterFailure;
  if (cut_off)
    patience = options_.guarded_zones.contains(m.zone) ? lease_ended + kCutLonger : lease_ended;
  else if (alone)
    patience = kLeastSilence;
  bool release = false;
  if (m.up || !m.tasks.empty()) {
    // Returning a machine is the certain fence: once the cloud has answered,
    // nothing on it runs or can start.
    release = quiet > patience && m.up;
    // By the records it had work, so it was up before the takeover.
    if (!m.up)
      release = now - loaded_at_ > (alone ? patience : std::max(patience, 2.0 * options_.list_lag));
    bool cancelled = false;
    for (const Held& held : m.tasks)
      cancelled |= held.job->cancelled && now - held.job->cancelled_at > 0.4 * options_.cancel;
    if (cancelled && quiet > 2.0 * options_.report) release = true;
    if (release && quiet > kLeastSilence && !cut_off) alarm_until_ = now + kAlarm;
  } else {
    const Seconds most = options_.boot_patience * boots_.Expect(m.type, now) + options_.lease;
    release = now - m.born > boots_.GiveUp(m.type, options_.least_age, most, now) &&
              now - loaded_at_ > options_.lease;
  }
  if ((m.cordoned || m.draining) && m.tasks.empty()) release = true;
  if (m.notice_until && m.tasks.empty()) release = true;
  // Nothing is put on a mute machine. A spell may end; one that does not is paid for nothing.
  if (m.mute && m.tasks.empty() && now - m.reported > lease_ended + kCutLonger) release = true;
  if (m.notice_until) HandleNotice(m, now);
  if (release) {
    Return(m);
    Note("give up " + m.id.v +
         (m.cordoned ? ", faulty"
          : m.up     ? ""
                     : ", never heard of") +
         ", heard " + std::to_string(quiet.v) + " s ago");
  }
}

// The cloud will take the machine: what can't end in time is stopped, saved if
// it can be, early enough to be begun elsewhere.
void Scheduler::HandleNotice(Machine& m, Instant now) {
  const Seconds left = *m.notice_until - now;
  for (const Held& held : m.tasks) {
    const Job* job = held.job;
    const Task& t = held.task();
    if (t.want_stop || t.result_told || t.state != TaskState::kBound) continue;
    const bool ends_in_time =
        job->spec.kind == JobKind::kArray && t.running && EndOf(*job, t, m, now) - now < left;
    if (ends_in_time) continue;
    const bool saves = job->spec.checkpoint.v > 0;
    if (saves && left > job->spec.save + 2.0 * options_.report) continue;  // it runs on for now
    StopTask(held, saves ? job->spec.save + Seconds{1} : Seconds{0});
    WantPush(m);
  }
}

// Empties machines that are mostly unused but for a few replicas, when these
// can go on at once on other machines: such as are kept anyway, or cheaper
// ones that would be returned. Each move takes a replica away for a moment, so
// only a small part of them moves at a time.
void Scheduler::Consolidate(const Plan& plan, Instant now) {
  constexpr Seconds kMoveEvery{5};
  constexpr double kMostUsed = 0.5;
  constexpr double kPartMoved = 0.015;
  constexpr std::size_t kMostTried = 32;
  if (now < move_next_ || !renting_.empty()) return;
  std::vector<std::pair<double, Machine*>> candidates;  // by what they waste
  std::size_t replicas = 0;
  for (const Slot& slot : plan.slots) {
    Machine* m = slot.machine;
    const KindFacts& kind = kinds_[slot.kind];
    if (m == nullptr || !m->up || kind.kind.spot || !Usable(*m) || m->tasks.empty()) continue;
    replicas += m->tasks.size() - std::min<std::size_t>(m->arrays, m->tasks.size());
    const double used = m->used.cpus / std::max(kind.type->room.cpus, 1.0);
    if (used <= kMostUsed) candidates.emplace_back(-kind.type->price * (1 - used), m);
  }
  if (candidates.empty()) return;
  std::sort(candidates.begin(), candidates.end());
  if (candidates.size() > kMostTried) candidates.resize(kMostTried);
  // The fullest first, so that the others become empty.
  std::vector<const Slot*> homes;
  for (const Slot& slot : plan.slots)
    if (slot.machine != nullptr && slot.now && !kinds_[slot.kind].kind.spot &&
        !slot.machine->releasing)
      homes.push_back(&slot);
  std::sort(homes.begin(), homes.end(), [](const Slot* a, const Slot* b) {
    return std::pair(a->lane.room().cpus, a->machine->id) <
           std::pair(b->lane.room().cpus, b->machine->id);
  });
  std::map<const Slot*, Resources> taken;
  std::set<const Machine*> used_as_home;
  const auto most = static_cast<std::size_t>(kPartMoved * static_cast<double>(replicas));
  std::size_t moved = 0;
  for (const auto& [waste, m] : candidates) {
    if (moved > 0 && moved + m->tasks.size() > most) continue;
    if (used_as_home.contains(m)) continue;
    std::map<const Slot*, Resources> with = taken;
    if (!FindHomes(*m, homes, with, now)) continue;
    moved += m->tasks.size();
    for (const auto& [slot, need] : with)
      if (!taken.contains(slot)) {
        slot->machine->idle_since = now;  // not returned meanwhile
        used_as_home.insert(slot->machine);
      }
    taken = std::move(with);
    m->draining = true;
    roster_.Watch(*m);
    Note("drain " + m->id.v);
    for (const Held& held : m->tasks) StopTask(held, held.job->spec.save + Seconds{1});
    WantPush(*m);
    if (moved >= most) break;
  }
  if (moved > 0) move_next_ = now + kMoveEvery;
}

// Whether all tasks of a machine are settled replicas that fit elsewhere, where
// their images are, for clearly less money than the machine costs. What they
// take there is added to `taken`.
bool Scheduler::FindHomes(const Machine& m, const std::vector<const Slot*>& homes,
                          std::map<const Slot*, Resources>& taken, Instant now) const {
  constexpr double kWorthMoving = 0.7;
  const double price = kinds_[*m.kind].type->price;
  double kept = 0;  // price of machines that would stay for this alone
  for (const Held& held : m.tasks) {
    const Job& job = *held.job;
    const Task& t = held.task();
    if (job.spec.kind != JobKind::kService || job.cancelled || !t.running ||
        now - t.since <= options_.settled)
      return false;
    const Slot* home = nullptr;
    for (const Slot* slot : homes) {
      if (!job.spec.each.Fits(slot->lane.room())) continue;
      if (slot->machine == &m || slot->machine->draining) continue;
      const KindFacts& kind = kinds_[slot->kind];
      if (kind.type->price > price || !KindAllows(job.spec, kind) ||
          !HasImage(*slot->machine, job.image))
        continue;
      const bool idle = slot->machine->tasks.empty() && !taken.contains(slot);
      if (idle && kept + kind.type->price > kWorthMoving * price) continue;
      const auto there = taken.find(slot);
      Resources need = there == taken.end() ? Resources{} : there->second;
      need += job.spec.each;
      if (!need.Fits(slot->lane.room())) continue;
      home = slot;
      if (idle) kept += kind.type->price;
      taken[slot] = need;
      break;
    }
    if (home == nullptr) return false;
  }
  return true;
}

}  // namespace magpie
