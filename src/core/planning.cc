#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/scheduler.h"

namespace magpie {

bool Scheduler::Usable(const Machine& m) const {
  return !m.releasing && !m.cordoned && !m.draining && !m.notice_until && !m.mute;
}

Resources Scheduler::Room(const Machine& m, const MachineType& type) const {
  Resources room = type.room;
  room -= m.used;
  return room;
}

bool Scheduler::ZoneOk(const Job& job, const std::string& zone) const {
  if (job.spec.zone && *job.spec.zone != zone) return false;
  auto there = job.in_zone.find(zone);
  const std::uint32_t n = there == job.in_zone.end() ? 0 : there->second;
  // What is held elsewhere, if only by an earlier leader's records, may be there.
  if (job.spec.together && job.in_zone.size() > (n > 0 ? 1U : 0U)) return false;
  return n < MostPerZone(job.spec);
}

bool Scheduler::WithinLimit(const Job& job, const std::map<std::string, Resources>& in_use,
                            const Resources& more) const {
  constexpr double kSlop = 1e-6;
  for (const Team& team : options_.teams) {
    if (team.name != job.spec.team) continue;
    auto it = in_use.find(team.name);
    Resources use = it == in_use.end() ? Resources{} : it->second;
    use += more;
    return (team.cpus_max <= 0 || use.cpus <= team.cpus_max + kSlop) &&
           (team.gpus_max <= 0 || use.gpus <= team.gpus_max + kSlop);
  }
  return false;
}

// Whether a task of the job that is bound, and may not be there, may be started: only while all
// that its team and its job hold keeps the rules. What this leader binds always does. But an
// earlier one may have unbound a task in memory alone and given its quota or its zone to
// another, so that its records have both; then whatever is absent for sure is unbound instead,
// until the rest keeps the rules. docs/design.md, "Limits and zones", has the proof.
bool Scheduler::MayStart(const Job& job) const {
  if (!WithinLimit(job, team_use_, {})) return false;
  if (job.spec.together && job.in_zone.size() > 1) return false;
  const std::uint32_t most = MostPerZone(job.spec);
  return std::all_of(job.in_zone.begin(), job.in_zone.end(),
                     [&](const auto& zone) { return zone.second <= most; });
}

// Whether a team that uses this much stays within its guarantee.
bool Scheduler::Guaranteed(const std::string& name, const Resources& use) const {
  constexpr double kSlop = 1e-6;
  for (const Team& team : options_.teams)
    if (team.name == name) return use.cpus <= team.cpus + kSlop && use.gpus <= team.gpus + kSlop;
  return false;
}

// The same for a job's team with one more of its tasks.
bool Scheduler::InGuarantee(const Job& job) const {
  auto it = team_use_.find(job.spec.team);
  Resources use = it == team_use_.end() ? Resources{} : it->second;
  use += job.spec.each;
  return Guaranteed(job.spec.team, use);
}

// Which jobs lie within their team's guarantee whole, along with the team's earlier
// unfinished jobs: PROTOCOL's words, "How aims are counted". By the use of the moment
// alone, the tasks of jobs that do not fit took the room of those that do. Each claims
// what it takes, in the order of submission, which is not that of a takeover's loads.
void Scheduler::ClaimGuarantees(std::vector<Job*> arrived) {
  std::sort(arrived.begin(), arrived.end(), [](const Job* a, const Job* b) {
    return std::tie(a->spec.submitted, a->spec.id) < std::tie(b->spec.submitted, b->spec.id);
  });
  for (Job* job : arrived) {
    const JobSpec& spec = job->spec;
    if (job->cancelled || job->done == spec.tasks) continue;
    const double tasks = spec.tasks;
    job->claim = {tasks * spec.each.cpus, tasks * spec.each.gpus, tasks * spec.each.memory_gb};
    Resources& claims = team_claims_[spec.team];
    claims += job->claim;
    job->within = Guaranteed(spec.team, claims);
  }
}

// The job is done, cancelled or gone.
void Scheduler::DropClaim(Job& job) { team_claims_[job.spec.team] -= std::exchange(job.claim, {}); }

// How long from now until the job's present tasks should be done: its deadline
// and what the objectives say of its class, the tightest of them that has not
// passed yet.
Scheduler::Due Scheduler::DueOf(const Job& job, WallTime wall) const {
  // Work that is overdue by far is not put off any longer.
  constexpr double kForgotten = 5;
  const Seconds age = wall - job.spec.submitted;
  double longest = job.spec.estimate.v;
  const MachineType* largest = nullptr;
  for (const MachineType& type : fleet_.types())
    if (largest == nullptr || type.room.cpus > largest->room.cpus) largest = &type;
  if (largest != nullptr) longest = table_.Expect(job.spec, largest->name).v;
  // When the work should be done, and until when that is possible for certain:
  // estimates of run times are too often wrong to give anything up for.
  using Targets = std::vector<std::pair<double, double>>;
  Targets targets;
  Targets guarantees;
  if (job.spec.deadline) targets.emplace_back(job.spec.deadline->v, job.spec.deadline->v);
  for (const Objective& o : options_.objectives) {
    // A job within its team's guarantee is to start soon, whatever its class.
    if (o.kind == "guarantee" && job.within)
      guarantees.emplace_back(o.within.v + longest, o.within.v);
    if (o.job_class != job.spec.job_class) continue;
    if (o.kind == "finished") targets.emplace_back(o.within.v, o.within.v);
    if (o.kind == "wait") targets.emplace_back(o.within.v + longest, o.within.v);
    if (o.kind == "deadline" && job.spec.deadline && o.times > 1)
      targets.emplace_back(o.times * job.spec.deadline->v, o.times * job.spec.deadline->v);
  }
  const auto tightest = [&](Targets all) {
    if (all.empty()) {
      const double target = options_.weights.target_factor * longest;
      all.emplace_back(target, target);
    }
    std::sort(all.begin(), all.end());
    Due due{{all.front().first - age.v}, {}, {}, {longest}, false};
    if (job.spec.kind == JobKind::kService) return due;
    due.overdue = age.v >= kForgotten * all.back().first;
    for (const auto& [target, until] : all) {
      if (due.targets.empty()) due.target = {target - age.v};
      if (age.v <= until) due.targets.push_back({target - age.v});
    }
    return due;
  };
  Due due = tightest(targets);
  due.rent_target = due.target;
  if (guarantees.empty()) return due;
  guarantees.insert(guarantees.end(), targets.begin(), targets.end());
  Due with = tightest(std::move(guarantees));
  with.rent_target = due.rent_target;
  return with;
}

// Lower ranks first: production and jobs that lie within a guarantee whole, then
// the tasks that their team's guarantee still covers; then by priority.
std::pair<int, int> Scheduler::RankOf(const Job& job) const {
  const bool first = job.spec.priority == Priority::kProduction || job.within;
  return {first ? 0 : InGuarantee(job) ? 1 : 2, -static_cast<int>(job.spec.priority)};
}

// For how long the job's waiting tasks would take all the room that they may use.
Seconds Scheduler::WorkLeft(const Waiting& waiting) const {
  const Job& job = *waiting.job;
  if (rooms_.empty()) return {};  // nothing is known before the first plan
  const Resources& each = job.spec.each;
  double at_once = 0;
  for (std::size_t k = 0; k < rooms_.size(); ++k) {
    const KindRoom& room = rooms_[k];
    if (room.count == 0 || !KindAllows(job.spec, kinds_[k])) continue;
    double fit = room.count * static_cast<double>(HowMany(kinds_[k].type->room, each));
    if (each.cpus > 0) fit = std::min(fit, room.free.cpus / each.cpus);
    if (each.gpus > 0) fit = std::min(fit, room.free.gpus / each.gpus);
    if (each.memory_gb > 0) fit = std::min(fit, room.free.memory_gb / each.memory_gb);
    at_once += fit;
  }
  const auto tasks = std::min<std::size_t>(job.pending.size(), waiting.most);
  return {static_cast<double>(tasks) * waiting.due.run.v / std::max(at_once, 1.0)};
}

// Of one rank's waiting jobs, tells those that can be in time along with what goes
// before them from those that are put off, if they get `part` of the room. Returns
// the work of all of them.
Seconds Scheduler::TriageRank(Waiting* begin, Waiting* end, Seconds ahead, double part) const {
  std::vector<Waiting*> arrays;
  std::vector<Claimant> claimants;
  Seconds late{};
  Seconds overdue{};
  for (Waiting* w = begin; w != end; ++w) {
    w->order = w->due.target;
    if (w->job->spec.kind == JobKind::kService) continue;
    const Seconds work = (1 / part) * WorkLeft(*w);
    if (w->due.overdue) {
      overdue = overdue + work;
    } else if (w->due.targets.empty()) {
      w->put_off = true;
      w->order = work;
      late = late + work;
    } else {
      arrays.push_back(w);
      claimants.push_back({work, w->due.run, w->due.targets});
    }
  }
  const Triaged triaged = Triage(claimants, ahead + overdue, options_.weights.alpha);
  for (std::size_t i = 0; triaged.overload && i < arrays.size(); ++i) {
    Waiting& w = *arrays[i];
    w.put_off = !triaged.meets[i];
    w.order = w.put_off ? claimants[i].work : w.due.targets[*triaged.meets[i]];
    if (w.put_off) late = late + claimants[i].work;
  }
  return overdue + triaged.work + late;
}

// What runs and is not stopped for work of this priority.
Seconds Scheduler::BusyFrom(Priority priority) const {
  Seconds busy;
  for (std::size_t p = static_cast<std::size_t>(priority); p < busy_.size(); ++p)
    busy = busy + busy_.at(p);
  return busy;
}

// CPUs that arrays of lower priority take.
double Scheduler::HeldBelow(Priority priority) const {
  double held = 0;
  for (std::size_t p = 0; p < static_cast<std::size_t>(priority); ++p) held += array_cpus_.at(p);
  return held;
}

namespace {
constexpr double kFloor = 0.25;  // of the room that arrays have
constexpr double kSpared = 2;    // times the floor
}  // namespace

// While not all urgent work can be in time, what is less urgent keeps a part of the
// room: else it would be begun and stopped again for hours and never end. Its jobs
// that can be in time within that go first, after those that a guarantee promises.
void Scheduler::KeepFloor(std::vector<Waiting>& waiting) {
  constexpr std::pair<int, int> kAfterPromised{0, 1};
  const double floor = kFloor * array_room_;
  for (const Priority flooded : {Priority::kNormal, Priority::kHigh, Priority::kProduction}) {
    const bool flood = std::any_of(waiting.begin(), waiting.end(), [&](const Waiting& w) {
      return w.put_off && w.job->spec.priority == flooded;
    });
    double held = HeldBelow(flooded);
    // Above its floor it may be stopped, but not by what has just been put off for it.
    if (flood && held <= kSpared * floor) spared_below_ = flooded;
    if (!flood || held >= floor) continue;
    for (Waiting& w : waiting) {
      if (held >= floor) break;
      const JobSpec& spec = w.job->spec;
      if (spec.kind == JobKind::kService || spec.priority >= flooded || w.put_off ||
          w.rank <= kAfterPromised)
        continue;
      w.rank = kAfterPromised;
      held += static_cast<double>(w.job->pending.size()) * spec.each.cpus;
    }
  }
}

// Within a rank, work that can still be in time goes before work that is late or
// would make more of the others late: under a load that is too much, each late job
// would else make the next one late. What is put off goes by the work that is left,
// so that the room is not spread over arrays of which hardly any ends.
std::vector<Scheduler::Waiting> Scheduler::Ordered(Instant now, WallTime wall) {
  std::vector<Waiting> waiting;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Job* job = *it;
    if (job->pending.empty() || job->cancelled) {
      it = waiting_.erase(it);
      continue;
    }
    ++it;
    // A job that may be wrong itself takes neither room nor machines from others.
    const std::uint32_t most = blame_.MostAtOnce(job->serial);
    if (most <= job->bound || now < blame_.NotBefore(job->serial)) continue;
    waiting.push_back({job, DueOf(*job, wall), RankOf(*job), false, most, {}});
    if (most != Blame::kAll) waiting.back().most -= job->bound;
  }
  const auto sort = [&](const auto& key) {
    std::sort(waiting.begin(), waiting.end(),
              [&](const Waiting& a, const Waiting& b) { return key(a) < key(b); });
  };
  sort([](const Waiting& w) { return std::tie(w.rank, w.job->spec.id); });
  Seconds ahead;
  std::optional<Priority> flooded;  // the least urgent with work put off so far
  for (std::size_t begin = 0; begin < waiting.size();) {
    std::size_t end = begin;
    while (end < waiting.size() && waiting[end].rank == waiting[begin].rank) ++end;
    const Priority priority = waiting[begin].job->spec.priority;
    const bool floor = flooded && priority < *flooded;
    const Seconds work =
        TriageRank(waiting.data() + begin, waiting.data() + end,
                   floor ? Seconds{} : ahead + BusyFrom(priority), floor ? kFloor : 1);
    ahead = ahead + work;
    for (; begin < end; ++begin)
      if (waiting[begin].put_off && (!flooded || priority < *flooded)) flooded = priority;
  }
  const auto key = [](const Waiting& w) {
    return std::tie(w.rank, w.put_off, w.order, w.job->spec.id);
  };
  sort(key);
  spared_below_.reset();
  if (flooded) {
    KeepFloor(waiting);
    sort(key);
  }
  return waiting;
}

// The job's expected run time on a kind of machine. The table is asked once for
// each version of it: plans ask for every task on every machine.
Seconds Scheduler::RunOn(const Job& job, std::size_t kind) const {
  constexpr double kUnknown = -1;
  if (job.runs_version != table_.version()) {
    job.runs.assign(kinds_.size(), kUnknown);
    job.runs_version = table_.version();
  }
  if (job.runs.size() <= kind) job.runs.resize(kinds_.size(), kUnknown);
  double& run = job.runs[kind];
  if (run < 0) run = table_.Expect(job.spec, kinds_[kind].kind.type).v;
  return {run};
}

Seconds Scheduler::ExpectOn(const Job& job, const Machine& m) const {
  return m.kind ? RunOn(job, *m.kind) : table_.Expect(job.spec, m.type);
}

// When a task is expected to end. One that overruns is expected to go on for a
// part of what it has taken already.
Instant Scheduler::EndOf(const Job& job, const Task& t, const Machine& m, Instant now) const {
  constexpr double kOverrun = 0.25;
  constexpr Seconds kSoon{1};
  Seconds run = ExpectOn(job, m);
  if (!t.running) {
    const MachineType* type = m.kind ? kinds_[*m.kind].type : fleet_.Find(m.type);
    if (type != nullptr && type->fetch_gb_per_s > 0 && !HasImage(m, job.image))
      run = run + Seconds{job.spec.image_gb / type->fetch_gb_per_s};
  }
  const Instant end = t.since + run;
  return end > now ? end : now + std::max(kSoon, kOverrun * (now - t.since));
}

// Tasks of one shape may share a machine rented for any of them.
std::string Scheduler::ShapeOf(const JobSpec& spec) {
  std::string shape = spec.job_class + '|' + std::to_string(spec.each.cpus) + '|' +
                      std::to_string(spec.each.memory_gb) + '|' + std::to_string(spec.each.gpus) +
                      (spec.spot ? "|spot|" : "|") + spec.zone.value_or("");
  if (spec.types)
    for (const std::string& type : *spec.types) shape += '|' + type;
  return shape;
}

bool Scheduler::KindAllows(const JobSpec& spec, const KindFacts& kind) const {
  if (kind.type == nullptr || (kind.kind.spot && !spec.spot)) return false;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), kind.kind.type) == spec.types->end())
    return false;
  return (!spec.zone || *spec.zone == kind.kind.zone) && spec.each.Fits(kind.type->room);
}

// The number of a kind of machine; kinds are few and never forgotten.
std::size_t Scheduler::KindNumber(const MachineKind& kind) {
  const auto [it, fresh] = kind_numbers_.try_emplace(kind, kinds_.size());
  if (fresh) kinds_.push_back({kind, fleet_.Find(kind.type)});
  return it->second;
}

bool Scheduler::Open(const Plan& plan, const Slot& slot) {
  return slot.now && plan.least.Fits(slot.lane.room());
}

void Scheduler::AddSlot(Plan& plan, Slot slot) {
  if (plan.by_kind.size() <= slot.kind) plan.by_kind.resize(slot.kind + 1);
  plan.by_kind[slot.kind].push_back(plan.slots.size());
  plan.open += Open(plan, slot) ? 1 : 0;
  plan.slots.push_back(std::move(slot));
  plan.versions.push_back(0);
  plan.changed.push_back(plan.slots.size() - 1);
}

void Scheduler::HoldIn(Plan& plan, std::size_t slot, Instant start, const Resources& need,
                       std::optional<Instant> end) {
  Slot& s = plan.slots[slot];
  const bool before = Open(plan, s);
  s.needed = true;
  s.lane.Hold(start, need, end);
  ++plan.versions[slot];
  plan.changed.push_back(slot);
  if (before && !Open(plan, s)) --plan.open;
}

Scheduler::Plan Scheduler::StartPlan(Instant now, const std::vector<Waiting>& waiting) {
  constexpr Seconds kFullEvery{1};
  Plan plan;
  plan.use = plan.use_soon = team_use_;
  plan.may_rent = renting_.empty() && list_seen_ && now >= fleet_next_;
  plan.full = plan.may_rent || now >= full_next_;
  if (plan.full) {
    full_next_ = now + kFullEvery;
    ExpectBoots(now);
  }
  if (plan.may_rent) touched_ = false;
  if (!waiting.empty()) plan.least = waiting.front().job->spec.each;
  for (const Waiting& w : waiting) {
    const Resources& each = w.job->spec.each;
    plan.least = {std::min(plan.least.cpus, each.cpus), std::min(plan.least.gpus, each.gpus),
                  std::min(plan.least.memory_gb, each.memory_gb)};
  }
  rooms_.assign(kinds_.size(), {});
  std::array<Seconds, 4> busy{};  // times CPUs
  Resources all;
  plan.slots.reserve(machines_.size());
  machines_looked_at_ += machines_.size();
  for (const auto& [id, m] : machines_) {
    if (m->type.empty()) continue;
    if (!m->kind) m->kind = KindNumber({m->type, m->zone, m->spot});
    const KindFacts& kind = kinds_[*m->kind];
    if (kind.type == nullptr) continue;
    if (rooms_.size() < kinds_.size()) rooms_.resize(kinds_.size());
    ++rooms_[*m->kind].count;
    // Time alone may have it returned, given up, or emptied of its replicas.
    plan.unsettled |= !m->up || m->tasks.empty() ||
                      (m->arrays == 0 && !m->spot && 2 * m->used.cpus <= kind.type->room.cpus);
    if (!Usable(*m)) continue;
    const bool silent = now - m->heard > 2.5 * options_.report;
    Instant from = now;
    if (!m->up) {
      // Late: another machine is rented instead.
      if (m->tasks.empty() && now - m->born > boots_.Late(m->type, now)) continue;
      from = std::max(now + Seconds{1}, m->born + kind.type->boot);
    } else if (silent || m->suspected) {
      continue;
    } else if (!blame_.quiet() && now < blame_.DoubtUntil(id)) {
      plan.unsettled = true;
      continue;
    }
    Slot slot{m.get(), *m->kind, Lane(Room(*m, *kind.type), from), m->up && !m->addr.empty(),
              !m->tasks.empty()};
    Resources free = kind.type->room;
    for (const Held& held : m->tasks) {
      const Job& job = *held.job;
      const Task& t = held.task();
      if (!t.room) continue;  // it is free already
      if (job.spec.kind == JobKind::kArray) {
        const Instant ends = EndOf(job, t, *m, now);
        slot.lane.AddEnd(ends, job.spec.each);
        Seconds& until = busy.at(static_cast<std::size_t>(job.spec.priority));
        until = until + job.spec.each.cpus * (ends - now);
        plan.lowest = std::min(plan.lowest, job.spec.priority);
      } else if (job.cancelled) {
        slot.lane.AddEnd(now + Seconds{1}, job.spec.each);
      }
      if (job.spec.kind == JobKind::kService) free -= job.spec.each;
    }
    rooms_[*m->kind].free += free;
    all += free;
    AddSlot(plan, std::move(slot));
  }
  for (std::size_t p = 0; p < busy.size(); ++p)
    busy_.at(p) = (1 / std::max(all.cpus, 1.0)) * busy.at(p);
  array_room_ = all.cpus;
  for (std::size_t k = 0; k < rooms_.size(); ++k)
    if (rooms_[k].count > 0) plan.have[kinds_[k].kind] = rooms_[k].count;
  return plan;
}

// Stops work of lower priority for tasks that would be late otherwise: on the
// machines where the least run time is lost. True when some was stopped.
bool Scheduler::MakeRoom(const Plan& plan, Job& job, Instant now) {
  constexpr Seconds kVictimsLeave{3};
  constexpr double kMostLost = 1;  // in run times of the task that comes
  constexpr std::size_t kMostAtOnce = 16;
  if (job.spec.priority <= plan.lowest || now < job.preempt_after) return false;
  const bool spares =
      job.spec.kind == JobKind::kArray && spared_below_ && job.spec.priority <= *spared_below_;
  if (spares) return false;
  job.preempt_after = now + kVictimsLeave;
  struct Sacrifice {
    double lost = 0;
    Machine* machine = nullptr;
    std::vector<Held> victims;
  };
  std::vector<Sacrifice> offers;
  for (const Slot& slot : plan.slots) {
    if (!slot.now || slot.machine == nullptr || slot.machine->relayed) continue;
    if (slot.machine->arrays == 0) continue;
    const KindFacts& kind = kinds_[slot.kind];
    if (!KindAllows(job.spec, kind) || !ZoneOk(job, kind.kind.zone)) continue;
    if (job.spec.kind == JobKind::kService && !HasImage(*slot.machine, job.image)) continue;
    std::vector<std::pair<double, Held>> candidates;
    for (const Held& held : slot.machine->tasks) {
      const Job& other = *held.job;
      const Task& t = held.task();
      if (other.spec.kind != JobKind::kArray || other.spec.priority >= job.spec.priority ||
          RankOf(other) <= RankOf(job) || t.state != TaskState::kBound || t.want_stop ||
          t.result_told)
        continue;
      const bool saves = other.spec.checkpoint.v > 0;
      const double lost = !t.running ? 0 : saves ? other.spec.save.v : (now - t.since).v;
      candidates.emplace_back(lost * other.spec.each.cpus, held);
    }
    if (candidates.empty()) continue;
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    Resources room = Room(*slot.machine, *kind.type);
    Sacrifice offer{0, slot.machine, {}};
    for (const auto& [loss, held] : candidates) {
      if (job.spec.each.Fits(room)) break;
      room += held.job->spec.each;
      offer.lost += loss;
      offer.victims.push_back(held);
    }
    if (offer.victims.empty() || !job.spec.each.Fits(room)) continue;
    const double worth = RunOn(job, slot.kind).v * job.spec.each.cpus;
    if (job.spec.kind == JobKind::kArray && offer.lost > kMostLost * worth) continue;
    offers.push_back(std::move(offer));
  }
  std::sort(offers.begin(), offers.end(),
            [](const Sacrifice& a, const Sacrifice& b) { return a.lost < b.lost; });
  const std::size_t wanted = std::min(job.pending.size(), kMostAtOnce);
  std::map<std::string, Resources> left = team_use_;
  std::size_t made = 0;
  for (const Sacrifice& offer : offers) {
    if (made == wanted) break;
    // Once stopped, work within its team's guarantee would come first again,
    // and the room would go back and forth.
    std::map<std::string, Resources> after = left;
    bool spared = false;
    for (const Held& held : offer.victims) {
      const JobSpec& other = held.job->spec;
      spared |= Guaranteed(other.team, after[other.team]);
      after[other.team] -= other.each;
    }
    if (spared) continue;
    left = std::move(after);
    ++made;
    for (const Held& held : offer.victims) {
      const Job& other = *held.job;
      StopTask(held, other.spec.checkpoint.v > 0 ? other.spec.save + Seconds{1} : Seconds{0});
      if (options_.notes) Note("stop " + other.spec.id.v + " for " + job.spec.id.v);
    }
    WantPush(*offer.machine);
  }
  return made > 0;
}

// The places where the tasks of one job could go, from a shelf that it shares
// with the jobs like it: the machines are looked at once for all of them; after
// that only those that have changed. Two questions give the rule's two answers:
// the smallest machine with room now and slack, and the soonest finisher.
class Scheduler::Places {
 public:
  struct Place {
    std::size_t slot = 0;
    Choice choice;
    Instant start;
  };

  Places(Scheduler& s, Plan& plan, const Job& job, Seconds target, Instant now)
      : s_(s), plan_(plan), job_(job), shelf_(ShelfFor(plan, job)), target_(target), now_(now) {
    for (std::size_t kind = 0; kind < plan.by_kind.size(); ++kind) Allow(kind);
    SortKinds();
  }

  // The rule's choice as the plan stands now.
  std::optional<Place> Pick() {
    CatchUp();
    if (const auto best = BestNow()) return best;
    return Soonest();
  }

 private:
  struct Allowed {
    bool dear = false;  // an ordinary machine, for work that may use spot ones
    double size = 0;
    std::size_t kind = 0;
    auto operator<=>(const Allowed&) const = default;
  };

  static Shelf& ShelfFor(Plan& plan, const Job& job) {
    constexpr std::size_t kMostShelves = 16;
    const JobSpec& spec = job.spec;
    ++plan.asked;
    auto least = plan.shelves.begin();
    for (auto it = plan.shelves.begin(); it != plan.shelves.end(); ++it) {
      if (it->Serves(spec.each, job.image, spec.image_gb)) {
        it->used = plan.asked;
        return *it;
      }
      if (it->used < least->used) least = it;
    }
    if (plan.shelves.size() >= kMostShelves) plan.shelves.erase(least);
    Shelf& shelf = plan.shelves.emplace_back(spec.each, job.image, spec.image_gb);
    shelf.used = plan.asked;
    shelf.seen = plan.changed.size();
    return shelf;
  }

  // Kinds that the job may not use, or whose zone is full for it, are passed
  // over whole.
  void Allow(std::size_t kind) {
    const KindFacts& facts = s_.kinds_[kind];
    if (plan_.by_kind[kind].empty() || !s_.KindAllows(job_.spec, facts) ||
        !s_.ZoneOk(job_, facts.kind.zone))
      return;
    kinds_.push_back({job_.spec.spot && !facts.kind.spot, facts.type->room.cpus, kind});
  }

  void SortKinds() {
    std::sort(kinds_.begin(), kinds_.end());
    known_ = plan_.by_kind.size();
  }

  // Takes in what changed since the shelf was last asked.
  void CatchUp() {
    for (; shelf_.seen < plan_.changed.size(); ++shelf_.seen) {
      const std::size_t i = plan_.changed[shelf_.seen];
      Shelf::Kind& there = shelf_.Of(plan_.slots[i].kind);
      if (there.now.filled) PutNow(there.now, i);
      if (there.later.filled) PutLater(there.later, i);
    }
    if (known_ == plan_.by_kind.size()) return;  // else a kind is new to the plan
    for (std::size_t kind = known_; kind < plan_.by_kind.size(); ++kind) Allow(kind);
    SortKinds();
  }

  void PutNow(Shelf::Heap& heap, std::size_t i) {
    const Slot& slot = plan_.slots[i];
    ++s_.places_looked_at_;
    if (!slot.now || !shelf_.each().Fits(slot.lane.room())) return;
    const auto start = slot.lane.Earliest(shelf_.each());
    if (start && *start <= now_) heap.Put(PlaceOf(i, *start));
  }

  void PutLater(Shelf::Heap& heap, std::size_t i) {
    ++s_.places_looked_at_;
    const auto start = plan_.slots[i].lane.Earliest(shelf_.each());
    if (start) heap.Put(PlaceOf(i, *start));
  }

  Shelf::Place PlaceOf(std::size_t i, Instant start) const {
    const Slot& slot = plan_.slots[i];
    const MachineType& type = *s_.kinds_[slot.kind].type;
    Seconds wait = start - now_;
    if (type.fetch_gb_per_s > 0 &&
        (slot.machine == nullptr || !s_.HasImage(*slot.machine, shelf_.image())))
      wait = wait + Seconds{shelf_.image_gb() / type.fetch_gb_per_s};
    return {wait, slot.lane.room().cpus, static_cast<std::uint32_t>(i), plan_.versions[i]};
  }

  Choice ChoiceOf(const Allowed& kind, const Shelf::Place& place, bool now) const {
    return {kind.dear, kind.size, place.spare, now, place.wait, s_.RunOn(job_, kind.kind)};
  }

  // A zone that is full for the job stays full for the rest of the plan.
  bool Open(const Allowed& kind) const { return s_.ZoneOk(job_, s_.kinds_[kind.kind].kind.zone); }

  Place Picked(const Allowed& kind, const Shelf::Place& place) const {
    const Slot& slot = plan_.slots[place.slot];
    const Instant start = *slot.lane.Earliest(shelf_.each());
    return {place.slot, ChoiceOf(kind, place, slot.now && start <= now_), start};
  }

  std::optional<Place> BestNow() {
    const Allowed* best = nullptr;
    Shelf::Place there;
    for (const Allowed& kind : kinds_) {
      if (best != nullptr && std::tie(best->dear, best->size) < std::tie(kind.dear, kind.size))
        break;
      Shelf::Heap& heap = shelf_.Of(kind.kind).now;
      if (!std::exchange(heap.filled, true))
        for (const std::size_t i : plan_.by_kind[kind.kind]) PutNow(heap, i);
      const auto top = heap.Best(plan_.versions);
      if (!top || (best != nullptr && !(*top < there))) continue;
      if (Slack(target_, ChoiceOf(kind, *top, true), s_.options_.weights).v < 0 || !Open(kind))
        continue;
      best = &kind;
      there = *top;
    }
    if (best == nullptr) return std::nullopt;
    return Picked(*best, there);
  }

  std::optional<Place> Soonest() {
    const Allowed* best = nullptr;
    Shelf::Place there;
    Seconds soonest;
    for (const Allowed& kind : kinds_) {
      Shelf::Heap& heap = shelf_.Of(kind.kind).later;
      if (!std::exchange(heap.filled, true))
        for (const std::size_t i : plan_.by_kind[kind.kind]) PutLater(heap, i);
      const auto top = heap.Best(plan_.versions);
      if (!top) continue;
      const Seconds end = top->wait + s_.RunOn(job_, kind.kind);
      if (best != nullptr && std::tie(soonest, best->dear, best->size, there.spare) <=
                                 std::tie(end, kind.dear, kind.size, top->spare))
        continue;
      if (!Open(kind)) continue;
      best = &kind;
      there = *top;
      soonest = end;
    }
    if (best == nullptr) return std::nullopt;
    return Picked(*best, there);
  }

  Scheduler& s_;
  Plan& plan_;
  const Job& job_;
  Shelf& shelf_;
  Seconds target_;
  Instant now_;
  std::vector<Allowed> kinds_;  // that the job may use, the rule's first ones first
  std::size_t known_ = 0;       // kinds of the plan that were looked at
};

// Finds places for the job's tasks: binds them, or lets them hold room on the
// machines that finish them soonest, or plans machines for them. At most
// `budget` tasks are looked at.
void Scheduler::PlanJob(Plan& plan, const Waiting& planned, Instant now, int& budget) {
  constexpr Seconds kFarAhead{60};
  Job& job = *planned.job;
  const Due& due = planned.due;
  ++jobs_planned_;
  const bool service = job.spec.kind == JobKind::kService;
  std::uint32_t* alike = plan.may_rent ? &plan.alike[job.shape] : nullptr;
  Places places(*this, plan, job, due.target, now);
  std::size_t waiting = 0;
  const bool limited = planned.most != Blame::kAll;
  std::uint32_t left = planned.most;
  while (job.pending.size() > waiting && budget > 0 && left > 0 &&
         WithinLimit(job, plan.use_soon, job.spec.each)) {
    --budget;
    --left;
    if (alike != nullptr && *alike > 0) --*alike;
    const auto pick = places.Pick();
    // Beyond the quota that holds far ahead leave, nothing is held, rented or stopped for.
    if (!WithinLimit(job, plan.use, job.spec.each) && (!pick || !pick->choice.now)) return;
    const bool in_time = pick && Slack(due.target, pick->choice, options_.weights).v >= 0;
    const bool at_once = pick && pick->choice.now;
    const bool late = !pick || Slack(due.rent_target, pick->choice, options_.weights).v < 0;
    if (late && plan.may_rent && !at_once && (!limited || !pick)) {
      if (PlanRental(plan, job, due.rent_target, now,
                     pick ? std::optional(pick->choice.wait + pick->choice.run) : std::nullopt)) {
        plan.use[job.spec.team] += job.spec.each;
        plan.use_soon[job.spec.team] += job.spec.each;
        ++waiting;
        continue;
      }
    }
    if (!in_time && !at_once) {
      // What will be late all the same stops nothing.
      if (!planned.put_off && !limited) MakeRoom(plan, job, now);
    } else if (!in_time && service && !limited && pick->choice.wait.v > 0 &&
               MakeRoom(plan, job, now)) {
      return;  // rather at once where the image is, than here after a fetch
    }
    if (!pick) return;
    const Slot& slot = plan.slots[pick->slot];
    HoldIn(plan, pick->slot, pick->start, job.spec.each,
           service ? std::nullopt : std::optional(now + pick->choice.wait + pick->choice.run));
    plan.use[job.spec.team] += job.spec.each;
    const bool boots = slot.machine == nullptr || !slot.machine->up;
    if (at_once || boots || pick->choice.wait <= kFarAhead)
      plan.use_soon[job.spec.team] += job.spec.each;
    if (at_once) {
      const std::uint32_t index = job.pending.front();
      job.pending.pop_front();
      Bind(job, index, *slot.machine, now);
    } else {
      ++waiting;
    }
  }
}

// A machine for the job's next task, if it is worth its price: only if it ends
// the task clearly sooner than `otherwise`. The task holds its room.
bool Scheduler::PlanRental(Plan& plan, Job& job, Seconds target, Instant now,
                           std::optional<Seconds> otherwise) {
  constexpr double kLeastGain = 0.25;  // of boot or run time
  const Shortage shortage{&job.spec,
                          [&](const std::string& zone) { return ZoneOk(job, zone); },
                          std::max(1U, plan.alike[job.shape]),
                          target,
                          !otherwise,
                          [&](const MachineType& t) { return table_.Expect(job.spec, t.name); }};
  const auto offer = fleet_.Plan(shortage, plan.have, now);
  if (!offer) return false;
  const Seconds run = table_.Expect(job.spec, offer->kind.type);
  const Seconds margin = std::max(kLeastGain * offer->type->boot, kLeastGain * run);
  if (otherwise && offer->ready + run + margin >= *otherwise) return false;
  ++plan.orders[offer->kind];
  ++plan.have[offer->kind];
  Slot slot{nullptr, KindNumber(offer->kind), Lane(offer->type->room, now + offer->type->boot),
            false, true};
  slot.lane.Hold(
      now + offer->type->boot, job.spec.each,
      job.spec.kind == JobKind::kService ? std::nullopt : std::optional(now + offer->ready + run));
  AddSlot(plan, std::move(slot));
  return true;
}

// Keeps room for the next services and rents it if there is none: one replica
// for each image, where the image is if possible, and for each shape what the
// largest of the latest services took and what arrives while a machine boots.
void Scheduler::PlanSpare(Plan& plan, Instant now) {
  constexpr double kMostOfRunning = 0.1;
  struct Need {
    const JobSpec* spec = nullptr;
    double arrived = 0;
    std::uint32_t largest = 0;
    std::uint32_t held = 0;
    std::vector<std::uint32_t> images;
  };
  std::map<std::string, Need> needs;
  for (auto it = recent_.begin(); it != recent_.end();) {
    const Recent& recent = it->second;
    if (now - recent.at > options_.headroom_for) {
      it = recent_.erase(it);
      continue;
    }
    ++it;
    if (recent.spec.kind != JobKind::kService) continue;
    Need& need = needs[ShapeOf(recent.spec)];
    need.spec = &recent.spec;
    need.images.push_back(recent.image);
    need.arrived += recent.weight * std::exp(-(now - recent.at).v / kArrivalMemory);
    if (now - recent.at < Seconds{kArrivalMemory})
      need.largest = std::max(need.largest, recent.spec.tasks);
    for (std::uint32_t i = 0; i < options_.headroom; ++i) {
      std::optional<std::size_t> best;
      auto key = [&](const Slot& s) {
        const bool cached = s.machine != nullptr && HasImage(*s.machine, recent.image);
        return std::tuple(!s.now, !cached, !s.needed, kinds_[s.kind].type->price);
      };
      for (std::size_t k = 0; k < plan.by_kind.size(); ++k) {
        if (plan.by_kind[k].empty() || !KindAllows(recent.spec, kinds_[k])) continue;
        for (const std::size_t slot : plan.by_kind[k])
          if (recent.spec.each.Fits(plan.slots[slot].lane.room()) &&
              (!best || key(plan.slots[slot]) < key(plan.slots[*best])))
            best = slot;
      }
      if (best) {
        HoldIn(plan, *best, now, recent.spec.each, std::nullopt);
      } else if (plan.may_rent) {
        RentSpare(plan, recent.spec, 1, now);
      }
      ++need.held;
    }
  }
  double running = 0;
  for (const auto& [id, job] : jobs_)
    if (job->spec.kind == JobKind::kService) running += job->bound;
  for (auto& [shape, need] : needs) {
    const JobSpec& spec = *need.spec;
    Seconds boot{};
    for (const MachineType& type : fleet_.types()) boot = std::max(boot, type.boot);
    // A flood, as after a long outage, is not taken for the usual rate.
    const double arriving =
        std::min(need.arrived / kArrivalMemory * boot.v, kMostOfRunning * running);
    const auto all = static_cast<std::uint32_t>(std::ceil(
        options_.headroom * std::max<double>(need.largest > 1 ? need.largest : 0, arriving)));
    if (all <= need.held) continue;
    std::uint32_t want = all - need.held;
    std::vector<std::tuple<bool, int, bool, double, std::size_t>> order;
    for (std::size_t i = 0; i < plan.slots.size(); ++i) {
      const Slot& slot = plan.slots[i];
      if (!spec.each.Fits(slot.lane.room()) || !KindAllows(spec, kinds_[slot.kind])) continue;
      int cached = 0;
      if (slot.machine != nullptr)
        for (const std::uint32_t image : need.images) cached += HasImage(*slot.machine, image);
      order.emplace_back(!slot.now, -cached, !slot.needed, kinds_[slot.kind].type->price, i);
    }
    std::sort(order.begin(), order.end());
    // Replicas of one service may not all be in one zone.
    const std::uint32_t most_in_zone = spec.apart ? (want + 1) / 2 : want;
    std::map<std::string, std::uint32_t> in_zone;
    for (const auto& key : order) {
      const Slot& slot = plan.slots[std::get<4>(key)];
      std::uint32_t& here = in_zone[kinds_[slot.kind].kind.zone];
      while (want > 0 && here < most_in_zone && spec.each.Fits(slot.lane.room())) {
        HoldIn(plan, std::get<4>(key), now, spec.each, std::nullopt);
        ++here;
        --want;
      }
      if (want == 0) break;
    }
    while (want > 0 && plan.may_rent) {
      const std::uint32_t brought = RentSpare(plan, spec, want, now);
      if (brought == 0) break;
      want -= std::min(want, brought);
    }
  }
}

// Orders a machine for replicas to come; tells how many of them it holds.
std::uint32_t Scheduler::RentSpare(Plan& plan, const JobSpec& spec, std::uint32_t tasks,
                                   Instant now) {
  const auto offer =
      fleet_.Plan({&spec, [](const std::string&) { return true; }, tasks, Seconds{1e9}, false,
                   [](const MachineType&) { return Seconds{}; }},
                  plan.have, now);
  plan.unsettled = true;
  if (!offer) return 0;
  ++plan.orders[offer->kind];
  ++plan.have[offer->kind];
  return HowMany(offer->type->room, spec.each);
}

// Keeps the cheap idle machines that recent classes of arrays may soon use.
void Scheduler::KeepCheap(Plan& plan, Instant now) {
  for (auto& [name, recent] : recent_) {
    const JobSpec& spec = recent.spec;
    if (spec.kind != JobKind::kArray || now - recent.at > options_.spot_kept) continue;
    std::uint32_t left = spec.tasks;
    for (const bool used : {true, false}) {
      for (Slot& slot : plan.slots) {
        if (left == 0) break;
        if (slot.needed != used || !kinds_[slot.kind].kind.spot ||
            !KindAllows(spec, kinds_[slot.kind]))
          continue;
        while (left > 0 && spec.each.Fits(slot.lane.room())) {
          slot.lane.Hold(now, spec.each, std::nullopt);
          slot.needed = true;
          --left;
        }
      }
    }
  }
}

void Scheduler::Order(const Plan& plan) {
  for (const auto& [kind, count] : plan.orders) {
    CloudCall call;
    call.kind = CloudCall::Kind::kRent;
    call.order = {rental_prefix_ + std::to_string(++rentals_), kind,
                  std::min(count, fleet_.options().most_per_order)};
    renting_.insert(call.order.name);
    cloud_queue_.push_back(std::move(call));
  }
}

void Scheduler::NoteArrival(Job& job, double tasks, Instant now) {
  job.arrived = now;
  // Services by image; arrays go by class alone.
  const bool service = job.spec.kind == JobKind::kService;
  Recent& recent = recent_[job.spec.job_class + (service ? " " + job.spec.image : "")];
  recent.weight =
      recent.weight * std::exp(-std::max(0.0, (now - recent.at).v) / kArrivalMemory) + tasks;
  recent.spec = job.spec;
  recent.image = job.image;
  recent.at = now;
}

// Jobs that came or were cancelled since the last tick.
void Scheduler::NoteChangedJobs(Instant now) {
  std::vector<Job*> arrived;
  for (const JobId& id : std::exchange(changed_, {})) {
    Job* job = FindJob(id);
    if (job == nullptr) continue;
    if (job->arrived.v == 0) {
      NoteArrival(*job, job->spec.tasks, now);
      arrived.push_back(job);
    }
    if (!job->cancelled) continue;
    DropClaim(*job);
    if (job->cancelled_at.v == 0) job->cancelled_at = now;
  }
  ClaimGuarantees(std::move(arrived));
}

void Scheduler::Tick(Instant now, WallTime wall) {
  constexpr int kMostPlanned = 4000;  // waiting tasks looked at in one go
  constexpr double kFleetEvery = 1;
  constexpr Seconds kLookEvery{0.25};
  if (!loaded_) return;
  wants_tick_ = false;
  NoteChangedJobs(now);
  if (now >= look_next_) {
    look_next_ = now + kLookEvery;
    NoteOverruns(now);
    LookAfterMachines(now);
    push_wanted_.merge(std::exchange(withheld_, {}));  // they may be started by now
  }
  if (fleet_.types().empty()) return;
  const std::vector<Waiting> ordered = Ordered(now, wall);
  // With nothing waiting, a plan is made again only if it could differ.
  if (ordered.empty() && (now < full_next_ || (!touched_ && !unsettled_))) return;
  Plan plan = StartPlan(now, ordered);
  if (plan.may_rent)
    for (const Waiting& w : ordered)
      plan.alike[w.job->shape] +=
          std::min(w.most, static_cast<std::uint32_t>(w.job->pending.size()));
  int budget = kMostPlanned;
  bool spared = false;
  for (const Waiting& w : ordered) {
    Job* job = w.job;
    if (!spared && job->spec.priority != Priority::kProduction) {
      PlanSpare(plan, now);  // before the rest takes the room
      spared = true;
    }
    if (now < job->not_before || job->reload) continue;
    // Between two full plans, what can neither begin now nor make room waits.
    if (!plan.full && plan.open == 0 && job->spec.priority <= plan.lowest) continue;
    PlanJob(plan, w, now, budget);
  }
  if (!plan.full) return;
  if (!spared) PlanSpare(plan, now);
  unsettled_ = plan.unsettled;
  KeepCheap(plan, now);
  if (plan.may_rent) {
    fleet_next_ = now + Seconds{kFleetEvery};
    Order(plan);
  }
  Consolidate(plan, now);
  ReturnIdle(plan, now);
}

}  // namespace magpie
