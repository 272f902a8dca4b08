// A stand-in for the platform's list and its backend servers, for tests that
// run the real programs. A request whose path contains "/full" is refused as
// not executed, and one whose path contains "/silent" runs without an answer.
// If the path contains "/late-copy", each server refuses the request once. It
// runs the request when that arrives again, and sends a copy of the refusal
// before the answer if both arrive on the same connection. A server whose id
// follows "/leave/" in the path says from then on that it is leaving, and one
// whose id follows "/pause/" refuses all requests for 2 s and asks for a pause
// of what is left of them. The list does not change. It shows a server whose id
// follows "/cold/" in the path as cold from then on, and after "/warm/" no
// more.

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/core/log.h"
#include "src/core/settings.h"
#include "src/net/forward/caller_listener.h"
#include "src/net/http/http_server.h"

namespace marigold {

namespace {

constexpr std::size_t kMaxConnections = 1'000;
constexpr std::uint16_t kServerPort = 9000;
constexpr auto kPauseTime = std::chrono::seconds(2);
constexpr int kColdTimeMs = 5'000;
constexpr std::size_t kReplyBytes = 34;
// The reply to a request whose path contains "/large".
constexpr std::size_t kLargeReplyBytes = 1024 * 1024;
constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;

struct StandinSettings {
  Endpoint list{"127.0.0.1", 7300};
  std::string services = "s1,s2";
  std::int64_t replicas = 3;
  // The first three numbers of the backend servers' IPv4 addresses.
  std::string network = "127.52.1";
  // Separated by commas. The replicas of a service are spread over them in
  // turn.
  std::string data_centres = "dc1";
  // The port of the servers in the list. It differs from `kServerPort` if a
  // relay forwards connections to the servers.
  std::int64_t listed_port = kServerPort;
  // The file to which a line is appended for each request that runs.
  std::string record = "/dev/null";
  // The file to which a line is appended for each request that arrives, with
  // all its header fields.
  std::string fields_record = "/dev/null";
};

struct Server {
  std::string id;
  std::string service;
  std::string address;
  std::string data_centre;
};

std::string FieldOf(const CallerRequest& request, const char* name) {
  const auto found = request.find(name);
  return found == request.end()
             ? ""
             : std::string(found->value().data(), found->value().size());
}

// Returns the id of the server and all header fields of the request in one
// line.
std::string FormatFields(const Server& server, const CallerRequest& request) {
  std::string line = server.id;
  for (const auto& field : request) {
    line += fmt::format(
        " | {}: {}",
        std::string(field.name_string().data(), field.name_string().size()),
        std::string(field.value().data(), field.value().size()));
  }
  return line;
}

// A file with one line for each of some requests to all servers.
class RequestLog {
 public:
  explicit RequestLog(const std::string& path) : file(path, std::ios::app) {}

  void Add(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    this->file << line << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

class Standin {
 public:
  explicit Standin(const StandinSettings& standin_settings)
      : settings(standin_settings),
        record(standin_settings.record),
        fields_record(standin_settings.fields_record),
        pool(2) {
    int address_suffix = 0;
    const std::vector<std::string> data_centres =
        Split(this->settings.data_centres, ',');
    for (const std::string& service : Split(this->settings.services, ',')) {
      for (std::int64_t i = 0; i < this->settings.replicas; ++i) {
        this->servers.push_back(
            {fmt::format("i-{}-{}", service, i), service,
             fmt::format("{}.{}", this->settings.network, ++address_suffix),
             data_centres[static_cast<std::size_t>(i) % data_centres.size()]});
      }
    }
  }

  Result<void> Open() {
    const std::vector<std::shared_ptr<Strand>> strands{
        std::make_shared<Strand>(this->pool)};
    for (const Server& server : this->servers) {
      BOOST_LEAF_AUTO(listener,
                      CallerListener::Listen(
                          this->pool, {server.address, kServerPort}, strands,
                          kMaxConnections, [this, server](const auto&) {
                            return this->HandlersOf(server);
                          }));
      this->listeners.push_back(std::move(listener));
    }
    BOOST_LEAF_ASSIGN(this->list,
                      HttpServer::Listen(this->pool, this->settings.list, {},
                                         [this](const HttpRequest&,
                                                const HttpResponder& respond) {
                                           HttpResponse response;
                                           response.body = this->ListBody();
                                           respond(response);
                                         }));
    return {};
  }

  void ServeUntilSignal() {
    this->pool.SetSignalHandler([this](int) { this->pool.Finish(); });
    this->pool.WaitUntilFinished();
    this->pool.Stop();
  }

 private:
  std::string ListBody() const {
    std::string entries;
    for (const Server& server : this->servers) {
      entries += fmt::format(
          R"({}{{"Id":"{}","Backend":"{}","Address":"{}:{}","Zone":"{}",)"
          R"("Version":"v1","Capacity":4,"State":"ready",)"
          R"("ColdRemainingMs":{}}})",
          entries.empty() ? "" : ",", server.id, server.service, server.address,
          this->settings.listed_port, server.data_centre,
          this->IsCold(server) ? kColdTimeMs : 0);
    }
    // Entries of another writer, which name no server.
    const std::string broken_entries = R"({"Id":"broken"},{"Id":")"
                                       "\xff"
                                       R"("},{"Id":)" +
                                       std::string(1'000, '[') +
                                       std::string(1'000, ']') +
                                       R"(},{"Id":"x","Capacity":1e999})";
    return fmt::format(R"({{"Instances":[{},{}],"NextPageToken":null}})",
                       entries, broken_entries);
  }

  bool IsCold(const Server& server) const {
    const std::lock_guard lock(this->cold_mutex);
    return this->cold_servers.contains(server.id);
  }

  // Marks the servers that the path names as cold or warm, whichever server has
  // the request.
  void MarkCold(const std::string& target) {
    const std::lock_guard lock(this->cold_mutex);
    for (const Server& server : this->servers) {
      if (target.find("/cold/" + server.id) != std::string::npos) {
        this->cold_servers.insert(server.id);
      } else if (target.find("/warm/" + server.id) != std::string::npos) {
        this->cold_servers.erase(server.id);
      }
    }
  }

  CallerHandlers HandlersOf(const Server& server) {
    CallerHandlers handlers;
    handlers.on_request = [this, server](
                              const std::shared_ptr<CallerSession>& session,
                              const CallerRequest& request) {
      this->Answer(server, session, request);
    };
    handlers.on_disconnected = [](const std::shared_ptr<CallerSession>&) {};
    handlers.limits = [] {
      CallerLimits limits;
      limits.body_bytes = kMaxBodyBytes;
      return limits;
    };
    return handlers;
  }

  void Answer(const Server& server,
              const std::shared_ptr<CallerSession>& session,
              const CallerRequest& request) {
    const std::string target(request.target().data(), request.target().size());
    this->fields_record.Add(FormatFields(server, request));
    if (FieldOf(request, "X-Expect-Instance") != server.id) {
      session->Answer(
          FormatReply(server, request, 421, "X-Not-Executed: 1\r\n", ""),
          false);
      return;
    }
    if (target.find("/full") != std::string::npos) {
      session->Answer(
          FormatReply(server, request, 503, "X-Not-Executed: 1\r\n", ""),
          false);
      return;
    }
    if (target.find("/leave/" + server.id) != std::string::npos) {
      this->leaving_servers.insert(server.id);
    }
    this->MarkCold(target);
    const auto now = std::chrono::steady_clock::now();
    if (target.find("/pause/" + server.id) != std::string::npos) {
      this->pause_ends.try_emplace(server.id, now + kPauseTime);
    }
    const auto pause = this->pause_ends.find(server.id);
    if (pause != this->pause_ends.end() && now < pause->second) {
      this->record.Add(fmt::format(
          "paused {} {}", FieldOf(request, "X-Request-Id"), server.id));
      const std::chrono::duration<double> left = pause->second - now;
      const std::string fields = fmt::format(
          "X-Not-Executed: 1\r\nRetry-After: {:.3f}\r\n", left.count());
      session->Answer(FormatReply(server, request, 503, fields, ""), false);
      return;
    }
    std::string late_copy;
    if (target.find("/late-copy") != std::string::npos) {
      const std::string refusal =
          FormatReply(server, request, 503, "X-Not-Executed: 1\r\n", "");
      const auto [first, is_first] = this->first_sessions.try_emplace(
          {FieldOf(request, "X-Request-Id"), server.id}, session);
      if (is_first) {
        session->Answer(refusal, false);
        return;
      }
      late_copy = first->second.lock() == session ? refusal : "";
    }
    this->record.Add(fmt::format("{} {} {}", FieldOf(request, "X-Request-Id"),
                                 server.service, server.id));
    if (target.find("/silent") != std::string::npos) {
      return;
    }
    // Two records of 16 bytes, followed by an incomplete record of 2 bytes.
    const std::size_t body_bytes = target.find("/large") != std::string::npos
                                       ? kLargeReplyBytes
                                       : kReplyBytes;
    const std::string body(body_bytes, server.service.back());
    const bool is_leaving = this->leaving_servers.contains(server.id);
    const std::string fields = is_leaving ? "Server-Leaving: 1\r\n" : "";
    session->Answer(late_copy + FormatReply(server, request, 200, fields, body),
                    false);
  }

  std::string FormatReply(const Server& server,
                          const CallerRequest& request,
                          int status,
                          const std::string& fields,
                          const std::string& body) {
    return fmt::format(
        "HTTP/1.1 {} Answer\r\nX-Request-Id: {}\r\nX-Server-Stamp: {}/{}/{}\r\n"
        "X-Server-Load: 1,0,4\r\n{}Content-Length: {}\r\n\r\n{}",
        status, FieldOf(request, "X-Request-Id"), server.id,
        FieldOf(request, "X-Request-Id"), ++this->last_stamp, fields,
        body.size(), body);
  }

  StandinSettings settings;
  std::vector<Server> servers;
  RequestLog record;
  RequestLog fields_record;
  std::atomic<std::uint64_t> last_stamp = 0;
  // By request and server: the connection on which the request was refused.
  // Used only on the one strand that all servers share.
  std::map<std::pair<std::string, std::string>, std::weak_ptr<CallerSession>>
      first_sessions;
  // Used only on that strand as well.
  std::set<std::string> leaving_servers;
  mutable std::mutex cold_mutex;
  std::set<std::string> cold_servers;
  std::map<std::string, std::chrono::steady_clock::time_point> pause_ends;
  WorkerPool pool;
  std::vector<std::unique_ptr<CallerListener>> listeners;
  std::unique_ptr<HttpServer> list;
};

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::StandinSettings settings;
  marigold::SettingsTable table("platform-standin",
                                "Backend servers and their list for tests.");
  table.AddEndpoint("list", settings.list, "Address of the list.");
  table.AddText("services", settings.services, "ids",
                "Services, separated by commas.");
  table.AddNumber("replicas", settings.replicas, 1, 20, "servers",
                  "Number of servers of each service.");
  table.AddText("network", settings.network, "numbers",
                "The first three numbers of the servers' addresses.");
  table.AddText("data-centre", settings.data_centres, "ids",
                "Data centres of the servers, separated by commas.");
  table.AddNumber("listed-port", settings.listed_port, 1, 65535, "port",
                  "Port of the servers in the list; they listen on 9000.");
  table.AddText("record", settings.record, "file",
                "File to which each request that runs is appended.");
  table.AddText(
      "fields-record", settings.fields_record, "file",
      "File to which the header fields of each request are appended.");
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  marigold::Standin standin(settings);
  const auto opened = marigold::Capture<bool>([&]() -> marigold::Result<bool> {
    BOOST_LEAF_CHECK(standin.Open());
    return true;
  });
  if (const auto* error = std::get_if<marigold::AnyError>(&opened)) {
    fmt::print(stderr, "platform-standin: {}\n", marigold::ToString(*error));
    return 1;
  }
  standin.ServeUntilSignal();
  return 0;
}
