#include "controller/job_router.h"

#include "controller/http_responses.h"
#include "protocol/codec.h"

namespace magpie {

std::string PathOf(const HttpRequest& request) {
  return request.path.substr(0, request.path.find('?'));
}

HttpResponse JobRouter::Handle(const HttpRequest& request) {
  const std::string path = PathOf(request);
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  const std::string jobs_path = protocol::kJobsPath;
  if (path == jobs_path)
    return post ? jobs_.Submit(request.body) : MethodNotAllowedResponse("POST");
  if (path.starts_with(jobs_path + "/")) {
    const std::string rest = path.substr(jobs_path.size() + 1);
    const auto slash = rest.find('/');
    if (slash == std::string::npos)
      return get ? jobs_.Query(rest) : MethodNotAllowedResponse("GET");
    if (rest.substr(slash + 1) == protocol::kCancelSuffix)
      return post ? jobs_.Cancel(rest.substr(0, slash)) : MethodNotAllowedResponse("POST");
  }
  return ErrorResponse(404, "no such path");
}

}  // namespace magpie
