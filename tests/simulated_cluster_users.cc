// User requests to the simulated controllers, and the checks of their responses.
#include "simulated_cluster.h"

namespace magpie::testing {

JobSpec SimulatedCluster::Spec(const std::string& job, std::uint32_t tasks) const {
  JobSpec spec = MakeJob(job, tasks);
  spec.spot = false;
  if (const auto it = job_overrides.find(job); it != job_overrides.end()) it->second(spec);
  return spec;
}

bool SimulatedCluster::Submit(const std::string& job, std::uint32_t tasks, const std::string& via) {
  if (!IsUp(via)) return false;
  submitted.emplace(job, tasks);
  // Disables rate limiting: no time passes in this call, so a submission could not back off.
  SimulatedController& controller = *controllers.at(via);
  const auto rate_limited = std::exchange(controller.store.rate_limited, [] { return false; });
  const HttpResponse response =
      controller.api.Submit(protocol::JobToRecord(Spec(job, tasks)).dump());
  const int status = response.status;
  controller.store.rate_limited = rate_limited;
  Record(DecisionKind::kUserResponse, via, kUser, [&] { return BodyOf(response); });
  if (status == 200 || status == 201) jobs[job] = tasks;
  return status == 200 || status == 201;
}

SimulatedCluster::UserView SimulatedCluster::CurrentUserView(const std::string& job) const {
  return {jobs.contains(job), acknowledged_cancellations.contains(job),
          reported_done.contains(job)};
}

std::string SimulatedCluster::CheckResponse(const std::string& job, const HttpResponse& response) {
  return CheckResponse(job, CurrentUserView(job), response);
}

std::string SimulatedCluster::CheckResponse(const std::string& job, const UserView& known,
                                            const HttpResponse& response) {
  if (response.status == 404 && known.accepted) violations.insert("forgotten");
  if (response.status != 200) return {};
  if (!jobs.contains(job) && !submitted.contains(job)) violations.insert("invented");
  const std::string state = protocol::Json::parse(response.body).at("mood").get<std::string>();
  if (known.cancelled && state != "withdrawn") violations.insert("went_back");
  if (known.done && state != "done") violations.insert("went_back");
  const UserView before = CurrentUserView(job);
  if (state == "withdrawn") {
    if (!requested_cancellations.contains(job)) violations.insert("went_back");
    if (acknowledged_cancellations.try_emplace(job, now).second && random)
      ScheduleAfter(cancel_deadline + Seconds{0.01}, [this] { invariant_check_pending_ = true; });
  }
  if (state == "done") {
    const auto tasks = jobs.contains(job) ? jobs[job] : submitted[job];
    for (std::uint32_t i = 0; i < tasks; ++i)
      if (!completed.contains({{job}, i})) violations.insert("not_done");
    reported_done.insert(job);
  }
  const bool state_changed = CurrentUserView(job).cancelled != before.cancelled ||
                             CurrentUserView(job).done != before.done;
  if (state_changed && on_job_state_changed) on_job_state_changed(job);
  return state;
}

std::string SimulatedCluster::Cancel(const std::string& job, const std::string& via) {
  if (!IsUp(via)) return {};
  requested_cancellations.insert(job);
  const HttpResponse response = controllers.at(via)->api.Cancel(job);
  Record(DecisionKind::kUserResponse, via, kUser, [&] { return BodyOf(response); });
  return CheckResponse(job, response);
}

std::string SimulatedCluster::Poll(const std::string& job, const std::string& via) {
  if (!IsUp(via)) return {};
  const HttpResponse response = controllers.at(via)->api.Query(job);
  Record(DecisionKind::kUserResponse, via, kUser, [&] { return BodyOf(response); });
  return CheckResponse(job, response);
}

void SimulatedCluster::SendUserRequest(
    const std::string& via, const std::function<HttpResponse(JobApi&)>& send,
    const std::function<void(const HttpResponse&)>& on_response) {
  Spawn([this, via, send, on_response] {
    // One request at a time: JobCache blocks the thread during another read, which would deadlock
    // the fibers.
    if (!IsUp(via) || controllers.at(via)->is_reading_jobs()) return;
    SimulatedController& controller = *controllers.at(via);
    controller.serving_request = true;
    try {
      const HttpResponse response = send(controller.api);
      controller.serving_request = false;
      Record(DecisionKind::kUserResponse, via, kUser, [&] { return BodyOf(response); });
      on_response(response);
    } catch (const SimulatedController::ProcessEnded&) {
    }
  });
}

void SimulatedCluster::PollConcurrently(const std::string& job, const std::string& via) {
  SendUserRequest(
      via, [job](JobApi& api) { return api.Query(job); },
      [this, job, known = CurrentUserView(job)](const HttpResponse& response) {
        CheckResponse(job, known, response);
      });
}

void SimulatedCluster::CancelConcurrently(const std::string& job, const std::string& via) {
  requested_cancellations.insert(job);
  SendUserRequest(
      via, [job](JobApi& api) { return api.Cancel(job); },
      [this, job, known = CurrentUserView(job)](const HttpResponse& response) {
        CheckResponse(job, known, response);
      });
}

void SimulatedCluster::SubmitConcurrently(const std::string& job, std::uint32_t tasks,
                                          const std::string& via) {
  submitted.emplace(job, tasks);
  SendUserRequest(
      via,
      [body = protocol::JobToRecord(Spec(job, tasks)).dump()](JobApi& api) {
        return api.Submit(body);
      },
      [this, job, tasks, known = CurrentUserView(job)](const HttpResponse& response) {
        if (known.accepted &&
            (response.status == 201 || response.status == 400 || response.status == 422))
          violations.insert(response.status == 201 ? "went_back" : "forgotten");
        if (response.status != 200 && response.status != 201) return;
        const bool state_changed = jobs.emplace(job, tasks).second;
        if (response.status == 200) CheckResponse(job, known, response);
        if (state_changed && on_job_state_changed) on_job_state_changed(job);
      });
}

void SimulatedCluster::SubmitInvalidConcurrently(int kind, const std::string& via) {
  const std::string job = "j-99" + std::to_string(kind);
  JobSpec spec = MakeJob(job, 2);
  if (kind == 1) spec.per_task.cpus = 1000;
  if (kind == 2) spec.team = "nobody";
  if (kind == 3) spec.zone = "nowhere";
  protocol::Json body = protocol::JobToRecord(spec);
  if (kind == 4) body.erase("pecks");
  const std::string text = body.dump();
  SendUserRequest(
      via, [=](JobApi& api) { return kind == 0 ? api.Query(job) : api.Submit(text); },
      [this](const HttpResponse& response) {
        if (response.status == 200 || response.status == 201) violations.insert("invented");
      });
}

const JobSpec& SimulatedCluster::SubmittedSpec(const std::string& job) {
  const auto [it, inserted] = submitted_specs_.try_emplace(job);
  if (inserted) it->second = Spec(job, jobs.contains(job) ? jobs[job] : submitted[job]);
  return it->second;
}

}  // namespace magpie::testing
