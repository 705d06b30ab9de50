// Routes the users' requests about jobs by path.
#pragma once

#include "controller/job_api.h"
#include "net/http_server.h"

namespace magpie {

// The path without the query string.
std::string PathOf(const HttpRequest& request);

// Thread safe.
class JobRouter {
 public:
  explicit JobRouter(JobApi& jobs) : jobs_(jobs) {}

  // Handles a submission, query or cancellation. Blocks on calls to the key-value store.
  HttpResponse Handle(const HttpRequest& request);

 private:
  JobApi& jobs_;
};

}  // namespace magpie
