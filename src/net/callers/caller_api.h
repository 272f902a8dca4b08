#ifndef SRC_NET_CALLERS_CALLER_API_H_
#define SRC_NET_CALLERS_CALLER_API_H_

#include "src/net/callers/caller_requests.h"
#include "src/net/callers/entry_parts.h"
#include "src/net/http/http_server.h"

namespace marigold {

// Routes callers' and operators' HTTP requests.
class CallerApi {
 public:
  explicit CallerApi(const EntryParts& entry_parts);

  void Handle(const HttpRequest& request, HttpResponder respond);

 private:
  using Handler = void (CallerApi::*)(const HttpRequest&, HttpResponder);

  struct Route {
    HttpMethod method;
    std::string_view path;
    Handler handler;
  };

  void HandleSearch(const HttpRequest& request, HttpResponder respond);
  void HandleAction(const HttpRequest& request, HttpResponder respond);
  void HandleHealth(const HttpRequest& request, HttpResponder respond);
  void HandleMetrics(const HttpRequest& request, HttpResponder respond);
  void HandleState(const HttpRequest& request, HttpResponder respond);
  EntryState State() const;

  EntryParts parts;
  CallerRequests requests;
};

}  // namespace marigold

#endif  // SRC_NET_CALLERS_CALLER_API_H_
