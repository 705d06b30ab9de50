#include "core/scheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace magpie {
namespace {
// Upper bounds for what a task's record and the first one of a job take.
std::size_t BytesOf(const TaskRecord& r) { return 48 + r.machine.v.size() + r.zone.size(); }
std::size_t BytesOf(const JobId& id) { return id.v.size() + 8; }
constexpr std::size_t kLongRecord = 128;

// What a task's records say grows in this order, wherever they stand: a later
// attempt, then that it is over, then that it is done.
auto AgeOf(const TaskRecord& r) { return std::tuple(r.done, r.attempt, r.machine.v.empty()); }
constexpr double kLateReports = 1.3;  // they vary by a quarter
constexpr Seconds kLateMargin{1};
}  // namespace

Scheduler::Scheduler(Options options, Fleet::Options fleet_options)
    : options_(std::move(options)),
      fleet_(fleet_options),
      roster_(kLateReports * options_.report + kLateMargin) {}

void Scheduler::Start(Stamp epoch, std::string rental_prefix, Instant now) {
  Stop();
  base_ = FirstToken(epoch);
  rental_prefix_ = std::move(rental_prefix);
  rentals_ = 0;
  list_next_ = now;
  fleet_next_ = now;
  // Whoever led before, be it this process a moment ago, may have used up the rate.
  constexpr Seconds kFirstBurst{0.3};
  write_budget_ = kFirstBurst.v * options_.writes_per_s;
  write_refilled_ = now;
}

void Scheduler::Stop() {
  base_ = Token{};
  loaded_ = false;
  jobs_.clear();
  dirty_.clear();
  waiting_.clear();
  overdue_.clear();
  to_return_.clear();
  roster_.Clear();
  by_id_.clear();
  machines_.clear();
  gone_.clear();
  touched_ = unsettled_ = true;
  rooms_.clear();
  served_.Clear();
  blame_.Clear();
  recorded_ = unsquared_ = 0;
  orders_ = 0;
  busy_ = {};
  array_room_ = 0;
  array_cpus_ = {};
  spared_below_.reset();
  machines_looked_at_ = 0;
  gone_order_.clear();
  team_use_.clear();
  team_claims_.clear();
  early_.clear();
  pages_.Clear();
  by_serial_.clear();
  write_open_ = false;
  cloud_queue_.clear();
  list_open_ = false;
  list_seen_ = false;
  renting_.clear();
  recent_.clear();
  changed_.clear();
  full_next_ = {};
  look_next_ = {};
  jobs_planned_ = 0;
  wants_tick_ = false;
  places_looked_at_ = 0;
  image_numbers_.clear();
  push_wanted_.clear();
  withheld_.clear();
  probe_queue_.clear();
  probe_scan_ = {};
  alarm_until_ = {};
  first_failures_.clear();
  doubt_until_.clear();
}

void Scheduler::SetTypes(std::vector<MachineType> types) {
  for (const MachineType& type : types) boots_.SetNominal(type.name, type.boot);
  fleet_.SetTypes(std::move(types));
  for (KindFacts& kind : kinds_) kind.type = fleet_.Find(kind.kind.type);
  Touch();
}

std::uint32_t Scheduler::ImageNumber(const std::string& image) {
  if (image.empty()) return 0;
  return image_numbers_.try_emplace(image, image_numbers_.size() + 1).first->second;
}

void Scheduler::LoadJob(const JobSpec& spec, bool cancelled, Stamp stamp) {
  auto& slot = jobs_[spec.id];
  if (slot) {
    if (stamp < slot->stamp) return;  // an old event
    slot->stamp = stamp;
    slot->reload = false;
    if (cancelled && !slot->cancelled) {
      slot->cancelled = true;
      StopAll(*slot);
      changed_.push_back(spec.id);
      dirty_.insert(spec.id);
      wants_tick_ = true;
    }
    return;
  }
  slot = std::make_unique<Job>();
  Job& job = *slot;
  job.spec = spec;
  job.stamp = stamp;
  job.cancelled = cancelled;
  job.image = ImageNumber(spec.image);
  job.shape = ShapeOf(spec);
  served_.Count(spec, &Served::Row::accepted);
  changed_.push_back(spec.id);
  wants_tick_ = true;
  job.tasks.resize(spec.tasks);
  job.serial = ++last_serial_;
  by_serial_[job.serial] = &job;
  if (!cancelled)
    for (std::uint32_t i = 0; i < spec.tasks; ++i) job.pending.push_back(i);
  if (!cancelled) waiting_.insert(&job);
  if (cancelled) dirty_.insert(spec.id);
}

void Scheduler::Cancelled(const JobId& id, Stamp stamp) {
  const Job* job = FindJob(id);
  if (job != nullptr && !job->cancelled) LoadJob(job->spec, true, std::max(stamp, job->stamp));
}

void Scheduler::LoadPage(const PageKey& key, const std::vector<PageRecord>& records, Stamp stamp) {
  const Pages::Id page = pages_.Read(key, stamp);
  for (const PageRecord& r : records) {
    Job* job = FindJob(r.job);  // none: it was made final
    if (job == nullptr || r.task.index >= job->tasks.size()) continue;
    Task& t = job->tasks[r.task.index];
    if (t.page != 0 && AgeOf(r.task) <= AgeOf(RecordOf(t, r.task.index))) continue;
    ApplyRecord(*job, r.task);
    pages_.Put(page, {job->serial, r.task.index}, t.page);
  }
}

void Scheduler::ApplyRecord(Job& job, const TaskRecord& r) {
  Task& t = job.tasks[r.index];
  if (t.machine != nullptr) {  // an older record was read before
    LeaveMachine(job, r.index);
    t.state = TaskState::kPending;
  }
  t.attempt = r.attempt;
  if (r.done) {
    t.state = TaskState::kDone;
    ++job.done;
    return;
  }
  if (r.machine.v.empty()) return;  // it ended there; only the attempt is kept
  Machine& m = Meet(r.machine, Instant{});
  if (m.zone.empty()) m.zone = r.zone;
  t.state = TaskState::kBound;
  t.want_stop = job.cancelled;
  TakeMachine(job, r.index, m);
}

// The record that says what the task is now.
TaskRecord Scheduler::RecordOf(const Task& t, std::uint32_t index) {
  TaskRecord r{
      index, t.attempt, t.state == TaskState::kEnding || t.state == TaskState::kDone, {}, {}};
  // Unbound for good: the attempt is kept so that it keeps growing.
  if (r.done || t.machine == nullptr) return r;
  r.machine = t.machine->id;
  r.zone = t.machine->zone;
  return r;
}

// What may be written of a task along with others: nothing that binds it, since
// its job may have been cancelled meanwhile.
std::optional<TaskRecord> Scheduler::DurableRecordOf(const Task& t, std::uint32_t index) {
  TaskRecord r = RecordOf(t, index);
  if (t.state == TaskState::kBinding) {
    r.machine = {};
    r.zone.clear();
    --r.attempt.v;
  }
  if (r.attempt.v == 0 && !r.done) return std::nullopt;
  return r;
}

void Scheduler::FinishLoad(Instant now) {
  std::vector<Job*> loaded;
  for (auto& [id, job] : jobs_) {
    std::deque<std::uint32_t> pending;
    for (std::uint32_t i : job->pending)
      if (job->tasks[i].state == TaskState::kPending) pending.push_back(i);
    job->pending.swap(pending);
    if (job->done == 0) {
      Attempt most;
      for (const Task& t : job->tasks) most = std::max(most, t.attempt);
      blame_.Recalled(job->serial, most);
    }
    // What was there before us says what comes, but nothing of the rate.
    NoteArrival(*job, 0, now);
    job->cancelled_at = now;
    if (Final(*job)) dirty_.insert(id);
    loaded.push_back(job.get());
  }
  ClaimGuarantees(std::move(loaded));
  for (auto& [id, m] : machines_) {
    roster_.Heard(*m, now);
    roster_.HeardDirectly(m->zone, now);
    CountInZone(*m);
    m->born = now;
    m->idle_since = now;
    m->recorded = !m->tasks.empty();
    recorded_ += m->recorded ? 1 : 0;
  }
  unsquared_ = recorded_;
  loaded_ = true;
  loaded_at_ = now;
  for (auto& [id, report] : early_) {
    Machine& m = Meet(id, now);
    Absorb(m, report, false, now);
  }
  early_.clear();
}

void Scheduler::JobGone(const JobId& id, Stamp stamp) {
  Job* job = FindJob(id);
  if (job != nullptr && job->stamp < stamp && job->bound == 0) DropJob(id);
}

void Scheduler::DropJob(const JobId& id) {
  Job* job = FindJob(id);
  if (job == nullptr) return;
  for (Task& t : job->tasks) pages_.Leave(t.page);
  DropClaim(*job);
  blame_.Forget(job->serial);
  by_serial_.erase(job->serial);
  waiting_.erase(job);
  jobs_.erase(id);
  dirty_.erase(id);
}

Scheduler::Job* Scheduler::FindJob(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Scheduler::Job* Scheduler::JobOf(const Machine& m, const JobId& id) {
  for (const Held& held : m.tasks)
    if (held.job->spec.id == id) return held.job;
  return FindJob(id);
}

Scheduler::Task* Scheduler::FindTask(const TaskId& id) {
  Job* job = FindJob(id.job);
  return job == nullptr || id.index >= job->tasks.size() ? nullptr : &job->tasks[id.index];
}

Scheduler::Machine& Scheduler::Meet(const MachineId& id, Instant now) {
  if (Machine* known = FindMachine(id)) return *known;
  auto& slot = machines_[id];
  slot = std::make_unique<Machine>();
  slot->id = id;
  slot->token = base_;
  slot->fence = base_;
  slot->born = now;
  slot->idle_since = now;
  by_id_[id] = slot.get();
  roster_.Join(*slot, now);
  roster_.Watch(*slot);
  Touch();
  return *slot;
}

Scheduler::Machine* Scheduler::FindMachine(const MachineId& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

void Scheduler::WantPush(Machine& m) { push_wanted_.insert(m.id); }

void Scheduler::TakeMachine(Job& job, std::uint32_t index, Machine& m) {
  Task& t = job.tasks[index];
  t.machine = &m;
  t.room = true;
  m.tasks.push_back({&job, index});
  m.used += job.spec.each;
  if (job.spec.kind == JobKind::kArray) {
    ++m.arrays;
    array_cpus_.at(static_cast<std::size_t>(job.spec.priority)) += job.spec.each.cpus;
  }
  ++job.bound;
  ++job.in_zone[m.zone];
  team_use_[job.spec.team] += job.spec.each;
  CountInZone(m);
  Touch();
}

void Scheduler::LeaveMachine(Job& job, std::uint32_t index) {
  Task& t = job.tasks[index];
  Machine& m = *t.machine;
  std::erase_if(m.tasks, [&](const Held& h) { return h.job == &job && h.index == index; });
  FreeRoom(job, t);
  t.machine = nullptr;
  --job.bound;
  if (--job.in_zone[m.zone] == 0) job.in_zone.erase(m.zone);
  team_use_[job.spec.team] -= job.spec.each;
  CountInZone(m);
  Touch();
}

// What a task took of its machine is free again.
void Scheduler::FreeRoom(Job& job, Task& t) {
  if (!t.room || t.machine == nullptr) return;
  t.room = false;
  Touch();
  t.machine->used -= job.spec.each;
  if (job.spec.kind == JobKind::kArray) {
    --t.machine->arrays;
    array_cpus_.at(static_cast<std::size_t>(job.spec.priority)) -= job.spec.each.cpus;
  }
}

void Scheduler::MarkDirty(Job& job, std::uint32_t index, Instant now) {
  if (!dirty_.contains(job.spec.id)) job.dirty_since = now;
  if (!std::exchange(job.tasks[index].dirty, true)) job.unsaved.push_back(index);
  dirty_.insert(job.spec.id);
}

void Scheduler::Bind(Job& job, std::uint32_t index, Machine& m, Instant now) {
  Task& t = job.tasks[index];
  t.state = TaskState::kBinding;
  ++t.attempt.v;
  t.seen = false;
  t.running = false;
  t.want_stop = false;
  t.result_told = false;
  t.overran = false;
  t.timed = true;
  t.since = now;
  TakeMachine(job, index, m);
  MarkDirty(job, index, now);
  job.urgent = true;
  if (options_.notes)
    Note("bind " + job.spec.id.v + "/" + std::to_string(index) + " of " + job.spec.job_class +
         ", attempt " + std::to_string(t.attempt.v) + ", to " + m.id.v +
         (HasImage(m, job.image) ? "" : " (image to fetch)"));
}

void Scheduler::Unbind(Job& job, std::uint32_t index, Instant now) {
  Task& t = job.tasks[index];
  NoLongerExpected(job, index);
  if (t.machine != nullptr) {
    Machine& m = *t.machine;
    LeaveMachine(job, index);
    if (m.tasks.empty()) m.used = {};
    m.idle_since = now;
  }
  t.seen = t.running = t.want_stop = t.result_told = false;
  if (t.state == TaskState::kEnding || t.state == TaskState::kDone) {
    t.state = TaskState::kDone;
    return;
  }
  wants_tick_ = true;
  if (options_.notes) Note("unbind " + job.spec.id.v + "/" + std::to_string(index));
  t.state = TaskState::kPending;
  if (!job.cancelled) {
    job.pending.push_front(index);
    waiting_.insert(&job);
  }
  if (Final(job)) dirty_.insert(job.spec.id);
}

// The task takes no room any more. Its quota and its zone's share it keeps
// until its end is durable.
void Scheduler::SetDone(Job& job, std::uint32_t index, Instant now) {
  Task& t = job.tasks[index];
  if (t.state == TaskState::kPending)
    job.pending.erase(std::remove(job.pending.begin(), job.pending.end(), index),
                      job.pending.end());
  NoLongerExpected(job, index);
  t.result_told = false;
  t.state = TaskState::kEnding;
  if (++job.done == job.spec.tasks) DropClaim(job);
  FreeRoom(job, t);
  wants_tick_ = true;
  MarkDirty(job, index, now);
}

// The attempt has a result, but may have been begun once more since it was told: it takes no
// room any more and is not begun again. It stays bound, in the records too, so that whoever
// leads counts it in its team's limit and in its zone until it is over for certain.
void Scheduler::ResultTold(Job& job, std::uint32_t index) {
  Task& t = job.tasks[index];
  t.result_told = true;
  t.running = t.timed = false;
  NoLongerExpected(job, index);
  FreeRoom(job, t);
  wants_tick_ = true;
}

// The bound attempt is not on its machine and can't start there any more.
void Scheduler::AttemptOver(Job& job, std::uint32_t index, Instant now) {
  if (job.tasks[index].result_told && !job.cancelled)
    SetDone(job, index, now);
  else
    Unbind(job, index, now);
}

bool Scheduler::Final(const Job& job) const {
  return job.cancelled ? job.bound == 0 : job.done == job.spec.tasks;
}

void Scheduler::StopAll(Job& job) {
  job.pending.clear();
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    Task& t = job.tasks[i];
    if (t.machine == nullptr) continue;
    if (t.state == TaskState::kEnding) {  // ended already, only not recorded
      Unbind(job, i, t.since);
      continue;
    }
    t.want_stop = true;
    t.grace = {};
    WantPush(*t.machine);
  }
}

// The job goes on elsewhere.
void Scheduler::StopTask(const Held& held, Seconds grace) {
  Task& t = held.task();
  t.want_stop = true;
  t.grace = grace;
  served_.Count(held.job->spec, &Served::Row::stopped);
}

// Bindings first, since tasks wait for them, by priority and then by age: after
// many machines died, hundreds wait for a few changes a second. Then jobs that
// are over, which users wait for; then single ends, which can wait when changes
// are scarce.
std::vector<JobId> Scheduler::WriteOrder(Instant now) const {
  constexpr Seconds kEndsWait{2};
  constexpr Seconds kLowWaits{0.5};
  const bool scarce = write_budget_ < 0.5 * options_.writes_per_s;
  // Bindings of low priority wait a little, all together, unless changes are plenty: a
  // flood of jobs of one task would take one for each, and users' submissions go short.
  const auto low = [](const Job& job) {
    return job.urgent && !job.cancelled && job.spec.priority == Priority::kLow;
  };
  bool low_goes = write_budget_ >= 0.9 * options_.writes_per_s;
  for (auto it = dirty_.begin(); !low_goes && it != dirty_.end(); ++it) {
    const Job& job = *jobs_.at(*it);
    low_goes = low(job) && now - job.dirty_since >= kLowWaits;
  }
  std::vector<JobId> order;
  std::vector<JobId> finals;
  std::vector<JobId> ends;
  for (const JobId& id : dirty_) {
    const Job& job = *jobs_.at(id);
    if (job.reload) continue;
    if (Final(job))
      finals.push_back(id);
    else if (low(job) && !low_goes)
      continue;
    else if (job.urgent || job.cancelled)
      order.push_back(id);
    else if (!scarce || now - job.dirty_since > kEndsWait)
      ends.push_back(id);
  }
  auto key = [this](const JobId& id) {
    const Job& job = *jobs_.at(id);
    return std::pair(-static_cast<int>(job.spec.priority), job.dirty_since);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](const JobId& a, const JobId& b) { return key(a) < key(b); });
  order.insert(order.end(), finals.begin(), finals.end());
  order.insert(order.end(), ends.begin(), ends.end());
  return order;
}

// A plan that is being made, and what it may still take.
struct Scheduler::Draft {
  WritePlan& plan;
  std::size_t most_ops;
  std::size_t most_conditions;
  std::size_t ops;
  std::size_t conditions;
  std::size_t bytes_left;
  std::size_t page_left;  // bytes, of the last page
};

WritePlan Scheduler::NextWrite(Instant now) {
  WritePlan plan;
  if (!loaded_ || write_open_) return plan;
  // The rate is shared with users' submissions, through whichever controller.
  const double burst = std::max(options_.writes_per_s, static_cast<double>(options_.most_ops));
  write_budget_ = std::min(
      burst, write_budget_ + std::max(0.0, (now - write_refilled_).v) * options_.writes_per_s);
  write_refilled_ = now;
  constexpr double kLeast = 3;  // what making a job final takes
  const auto needless = pages_.Needless();
  if (dirty_.empty() && !needless) return plan;
  if (write_budget_ < kLeast) return plan;
  Draft draft{plan,
              std::min(options_.most_ops, static_cast<std::size_t>(write_budget_)),
              4 * options_.most_ops,
              0,
              2,
              options_.most_bytes,
              0};
  for (const JobId& id : WriteOrder(now)) {
    Job& job = *FindJob(id);
    if (Final(job)) {
      if (draft.ops + 2 > draft.most_ops || draft.conditions + 2 > draft.most_conditions) break;
      plan.finals.push_back(
          {id, job.cancelled ? FinalMood::kCancelled : FinalMood::kDone, job.spec.tasks});
      plan.jobs[id] = job.stamp;
      draft.ops += 2;
      draft.conditions += 2;
      job.reload = true;  // nothing else is written of it
      dirty_.erase(id);
      continue;
    }
    if (job.cancelled) {
      // Nothing of a cancelled job needs recording; bindings that were never
      // written (none is in flight here) are given up.
      for (const std::uint32_t i : std::exchange(job.unsaved, {})) {
        job.tasks[i].dirty = false;
        if (job.tasks[i].state == TaskState::kBinding) Unbind(job, i, now);
      }
    } else if (!AddUnsaved(draft, job)) {
      break;
    }
    job.urgent = false;
    // An unbinding above may have made a cancelled job final: it stays marked.
    if (!job.cancelled || !Final(job)) dirty_.erase(id);
  }
  for (const WritePlan::Put& put : plan.puts)
    for (const PageRecord& r : put.records) FindJob(r.job)->tasks[r.task.index].planned = false;
  // Pages that hold nothing harm nobody and wait for a quiet moment.
  if (needless && plan.empty() && write_budget_ >= 0.5 * burst) {
    const Pages::Page& page = pages_.at(*needless);
    plan.drops.push_back({*needless, page.key, page.stamp});
    ++draft.ops;
  }
  write_budget_ -= static_cast<double>(draft.ops);
  write_open_ = !plan.empty();
  return plan;
}

// Adds a page to the plan, with what it must keep. False when none can be added.
bool Scheduler::OpenPage(Draft& draft) {
  constexpr std::size_t kKeptPart = 4;
  const std::size_t kept = options_.most_page_bytes / kKeptPart;
  if (draft.ops + 1 > draft.most_ops || draft.conditions + 2 > draft.most_conditions) return false;
  if (!draft.plan.puts.empty() && draft.bytes_left < options_.most_page_bytes) return false;
  std::vector<Pages::Id> taken;
  for (const WritePlan::Put& put : draft.plan.puts) taken.push_back(put.page);
  const Pages::Id id = pages_.Choose(static_cast<std::uint32_t>(kept / kLongRecord), taken);
  const Pages::Page& page = pages_.at(id);
  WritePlan::Put put{id, page.key, page.stamp, 0, {}};
  std::size_t bytes = 0;
  for (const Pages::Holder& holder : page.holders) {
    const auto it = by_serial_.find(holder.job);
    if (it == by_serial_.end()) continue;
    Job& job = *it->second;
    Task& t = job.tasks[holder.index];
    if (t.page != id || t.planned) continue;
    const auto record = DurableRecordOf(t, holder.index);
    if (!record) continue;
    t.planned = true;
    bytes += BytesOf(*record) + BytesOf(job.spec.id);
    put.records.push_back({job.spec.id, *record});
  }
  put.carried = put.records.size();
  draft.plan.puts.push_back(std::move(put));
  ++draft.ops;
  ++draft.conditions;
  const std::size_t left = std::min(options_.most_page_bytes, draft.bytes_left);
  draft.page_left = left - std::min(left, bytes);
  draft.bytes_left -= std::min(draft.bytes_left, bytes);
  return true;
}

// Adds what the job has to be written; false when not all of it found a place.
bool Scheduler::AddUnsaved(Draft& draft, Job& job) {
  if (job.unsaved.empty()) return true;
  if (draft.conditions + 1 > draft.most_conditions) return false;
  std::size_t added = 0;
  for (const std::uint32_t i : job.unsaved) {
    Task& t = job.tasks[i];
    const TaskRecord record = RecordOf(t, i);
    const std::size_t bytes = BytesOf(record) + BytesOf(job.spec.id);
    if ((draft.plan.puts.empty() || draft.page_left < bytes) &&
        (!OpenPage(draft) || draft.page_left < bytes))
      break;
    draft.plan.puts.back().records.push_back({job.spec.id, record});
    draft.page_left -= bytes;
    draft.bytes_left -= std::min(draft.bytes_left, bytes);
    t.dirty = false;
    t.planned = true;
    ++added;
  }
  if (added > 0 && draft.plan.jobs.try_emplace(job.spec.id, job.stamp).second) ++draft.conditions;
  job.unsaved.erase(job.unsaved.begin(), job.unsaved.begin() + static_cast<std::ptrdiff_t>(added));
  return job.unsaved.empty();
}

void Scheduler::OnWritten(const WritePlan& plan, Stamp stamp, Instant now) {
  if (!loaded_) return;
  write_open_ = false;
  for (const WritePlan::Put& put : plan.puts) {
    pages_.Written(put.page, stamp);
    for (const PageRecord& record : put.records) {
      Job* job = FindJob(record.job);
      if (job == nullptr) continue;
      const TaskRecord& r = record.task;
      Task& t = job->tasks[r.index];
      pages_.Put(put.page, {job->serial, r.index}, t.page);
      if (r.done) {
        if (t.state == TaskState::kEnding) {
          if (t.machine != nullptr && t.machine->tasks.size() > 1) WantPush(*t.machine);
          Unbind(*job, r.index, now);
        }
      } else if (t.state == TaskState::kBinding && t.attempt == r.attempt && t.machine != nullptr &&
                 t.machine->id == r.machine) {
        t.state = TaskState::kBound;
        if (job->cancelled) t.want_stop = true;
        WantPush(*t.machine);
      }
      if (Final(*job)) dirty_.insert(record.job);
    }
  }
  for (const WritePlan::Drop& drop : plan.drops) pages_.Dropped(drop.page);
  for (const WritePlan::Final& final : plan.finals) {
    Job* job = FindJob(final.job);
    if (job == nullptr) continue;
    for (std::uint32_t i = 0; i < job->tasks.size(); ++i)
      if (job->tasks[i].machine != nullptr) {
        job->tasks[i].state = TaskState::kEnding;
        Unbind(*job, i, now);
      }
    served_.Count(job->spec,
                  final.mood == FinalMood::kDone ? &Served::Row::done : &Served::Row::withdrawn);
    DropJob(final.job);
  }
}

void Scheduler::OnWriteRejected(const WritePlan& plan) {
  if (!loaded_) return;
  write_open_ = false;
  for (const WritePlan::Final& final : plan.finals) {
    if (Job* job = FindJob(final.job)) {
      job->reload = false;
      dirty_.insert(final.job);
    }
  }
  for (const WritePlan::Put& put : plan.puts) {
    for (std::size_t i = put.carried; i < put.records.size(); ++i) {
      const TaskRecord& r = put.records[i].task;
      Job* job = FindJob(put.records[i].job);
      if (job == nullptr) continue;
      Task& t = job->tasks[r.index];
      // A binding that was not written never existed: nothing was sent.
      if (t.state == TaskState::kBinding && t.attempt == r.attempt && job->cancelled) {
        Unbind(*job, r.index, t.since);
      } else if (!std::exchange(t.dirty, true)) {
        job->unsaved.push_back(r.index);
      }
      job->urgent = true;
      dirty_.insert(put.records[i].job);
    }
  }
}

std::optional<JobCounts> Scheduler::Counts(const JobId& id) const {
  auto it = jobs_.find(id);
  if (!loaded_ || it == jobs_.end()) return std::nullopt;
  return CountsOf(*it->second);
}

JobCounts Scheduler::CountsOf(const Job& job) {
  JobCounts counts{job.done, 0};
  for (const Task& t : job.tasks) counts.running += t.running ? 1 : 0;
  return counts;
}

std::map<JobId, JobCounts> Scheduler::AllCounts() const {
  std::map<JobId, JobCounts> all;
  for (const auto& [id, job] : jobs_) all[id] = CountsOf(*job);
  return all;
}

// That something may run on.
std::size_t Scheduler::MachinesThere() const {
  std::size_t all = 0;
  for (const auto& [name, zone] : roster_.zones()) all += zone.all;
  return all;
}

Squaring Scheduler::GetSquaring() const {
  return {recorded_, recorded_ - unsquared_, orders_,
          loaded_ && push_wanted_.empty() && dirty_.empty() && !write_open_};
}

Served::Table Scheduler::ServedTable(WallTime wall) const {
  Served::Table table = served_.table();
  for (const auto& [id, job] : jobs_) {
    const bool over = job->cancelled || job->done == job->spec.tasks;
    if (over) continue;
    const bool runs = CountsOf(*job).running > 0;
    for (Served::Row* row : {&table.classes[job->spec.job_class], &table.teams[job->spec.team]}) {
      ++row->open;
      if (!runs) ++row->waiting;
      if (!job->pending.empty())
        row->oldest_wait = std::max(row->oldest_wait, wall - job->spec.submitted);
    }
  }
  return table;
}

Status Scheduler::GetStatus() const {
  Status s;
  s.places_looked_at = places_looked_at_;
  s.jobs_planned = jobs_planned_;
  s.machines_looked_at = machines_looked_at_;
  s.jobs = jobs_.size();
  for (const auto& [id, job] : jobs_) {
    s.pending += job->pending.size();
    s.bound += job->bound;
  }
  for (const auto& [id, m] : machines_) ++(m->up ? s.machines_up : s.machines_starting);
  return s;
}

}  // namespace magpie
