// What the scripts of the review share: it starts the programs of the deploy
// file on loopback addresses, and holds small stand-ins for the platform's
// list, the searchers, the operator and the clients. It uses the standard
// library and POSIX sockets only.

#ifndef REVIEW_COMMON_HARNESS_H_
#define REVIEW_COMMON_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// Seconds since the start of the driver.
inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  void Open(const std::string& path) {
    this->file = std::fopen(path.c_str(), "w");
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(this->mutex);
    if (this->file == nullptr) {
      return;
    }
    std::fprintf(this->file, "%9.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(this->file, format, arguments);
    va_end(arguments);
    std::fputc('\n', this->file);
    std::fflush(this->file);
  }
  // Also prints the line.
  void Say(const std::string& text) {
    this->Line("%s", text.c_str());
    std::printf("%9.3f %s\n", Now(), text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex;
  std::FILE* file = nullptr;
};

inline Record& TheRecord() {
  static Record record;
  return record;
}

inline std::string Format(const char* format, ...)
    __attribute__((format(printf, 1, 2)));
inline std::string Format(const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  char text[4096];
  std::vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  return text;
}

// Sockets.

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

inline int Listen(const Address& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in target = ToSockaddr(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
          0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool IsFree(const Address& address) {
  const int fd = Listen(address);
  if (fd >= 0) {
    ::close(fd);
  }
  return fd >= 0;
}

inline bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

inline void SetTimeouts(int fd, double seconds) {
  timeval time{};
  time.tv_sec = static_cast<time_t>(seconds);
  time.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(time.tv_sec)) * 1e6);
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

// HTTP messages.

struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string Field(const std::string& name) const {
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? "" : found->second;
  }
  std::string Word(int index) const {
    std::istringstream words(this->start_line);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
  std::string Method() const { return this->Word(0); }
  std::string Target() const { return this->Word(1); }
  int Status() const { return std::atoi(this->Word(1).c_str()); }
};

enum class ReadResult { kMessage, kClosed, kReset, kTimeout, kBadBytes };

// Reads messages with a length (or without a body) from a socket.
class Reader {
 public:
  explicit Reader(int descriptor) : fd(descriptor) {}

  // `has_body` is false for the answer to a HEAD request.
  ReadResult Read(Message& out, bool has_body = true) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (this->buffer.size() > 256 * 1024) {
        return ReadResult::kBadBytes;
      }
      if (const auto failed = this->Fill()) {
        return *failed;
      }
    }
    const std::string head = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 4);
    out = {};
    std::size_t at = head.find("\r\n");
    out.start_line = head.substr(0, at);
    while (at != std::string::npos && at < head.size()) {
      at += 2;
      const std::size_t next = head.find("\r\n", at);
      const std::string line = head.substr(
          at, next == std::string::npos ? std::string::npos : next - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](char c) {
          return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        });
        std::string value = line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        std::string& field = out.fields[name];
        field = field.empty() ? value : field + ", " + value;
      }
      at = next;
    }
    const auto length = out.fields.find("content-length");
    const std::size_t size =
        !has_body || length == out.fields.end()
            ? 0
            : std::strtoul(length->second.c_str(), nullptr, 10);
    while (this->buffer.size() < size) {
      if (const auto failed = this->Fill()) {
        return *failed;
      }
    }
    out.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return ReadResult::kMessage;
  }

  // Bytes that have arrived and belong to no message that was read.
  const std::string& rest() const { return this->buffer; }
  bool FillOnce() { return !this->Fill(); }

 private:
  std::optional<ReadResult> Fill() {
    char bytes[16 * 1024];
    const ssize_t size = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (size > 0) {
      this->buffer.append(bytes, static_cast<std::size_t>(size));
      return std::nullopt;
    }
    if (size == 0) {
      return ReadResult::kClosed;
    }
    return errno == EAGAIN || errno == EWOULDBLOCK ? ReadResult::kTimeout
                                                   : ReadResult::kReset;
  }

  int fd;
  std::string buffer;
};

// A TCP server with one thread for each connection. `serve` returns when the
// connection is to be closed.
class Server {
 public:
  using Serve = std::function<void(int fd)>;

  Server(const Address& address, Serve serve)
      : listener(review::Listen(address)) {
    if (this->listener < 0) {
      std::fprintf(stderr, "cannot listen on %s\n", address.Text().c_str());
      std::exit(kCannotRun);
    }
    auto shared = this->state;
    this->acceptor = std::thread([fd = this->listener, shared, serve] {
      while (true) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
          const std::lock_guard lock(shared->mutex);
          if (shared->is_stopped) {
            ::close(accepted);
            continue;
          }
          shared->open.insert(accepted);
        }
        std::thread([accepted, shared, serve] {
          serve(accepted);
          const std::lock_guard lock(shared->mutex);
          shared->open.erase(accepted);
          ::close(accepted);
        }).detach();
      }
    });
  }
  ~Server() { this->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Ends like a process: the port closes and all connections end.
  void Stop() {
    {
      const std::lock_guard lock(this->state->mutex);
      if (this->state->is_stopped) {
        return;
      }
      this->state->is_stopped = true;
      for (const int fd : this->state->open) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
  }

 private:
  struct State {
    std::mutex mutex;
    std::set<int> open;
    bool is_stopped = false;
  };
  int listener;
  std::shared_ptr<State> state = std::make_shared<State>();
  std::thread acceptor;
};

// A client's connection.
class Connection {
 public:
  ~Connection() { this->Close(); }
  bool Connect(const Address& address, double timeout_s) {
    this->Close();
    this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    SetTimeouts(this->fd, timeout_s);
    const int on = 1;
    ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in target = ToSockaddr(address);
    if (::connect(this->fd, reinterpret_cast<const sockaddr*>(&target),
                  sizeof(target)) != 0) {
      this->Close();
      return false;
    }
    this->reader.emplace(this->fd);
    return true;
  }
  bool is_open() const { return this->fd >= 0; }
  void SetTimeout(double seconds) { SetTimeouts(this->fd, seconds); }
  bool Send(std::string_view bytes) { return WriteAll(this->fd, bytes); }
  ReadResult Read(Message& out, bool has_body = true) {
    return this->reader->Read(out, has_body);
  }
  Reader& bytes() { return *this->reader; }
  void Close() {
    if (this->fd >= 0) {
      ::close(this->fd);
      this->fd = -1;
    }
  }

 private:
  int fd = -1;
  std::optional<Reader> reader;
};

// One exchange on a new connection. The status is 0 without an answer.
inline int Call(const Address& address,
                const std::string& request,
                double timeout_s,
                Message& answer) {
  Connection connection;
  if (!connection.Connect(address, timeout_s) || !connection.Send(request) ||
      connection.Read(answer) != ReadResult::kMessage) {
    return 0;
  }
  return answer.Status();
}

// Processes.

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// The `run` line of a role in deploy/system.toml, with its placeholders
// replaced.
inline std::vector<std::string> DeployCommand(
    const std::string& role,
    const std::map<std::string, std::string>& settings) {
  const std::string file = ReadFile("deploy/system.toml");
  std::size_t at = file.find("[roles." + role + "]");
  at = at == std::string::npos ? at : file.find("run = \"", at);
  if (at == std::string::npos) {
    std::fprintf(stderr, "no role %s in deploy/system.toml\n", role.c_str());
    std::exit(kCannotRun);
  }
  at += std::strlen("run = \"");
  std::istringstream words(file.substr(at, file.find('"', at) - at));
  std::vector<std::string> command;
  std::string word;
  while (words >> word) {
    std::size_t open = 0;
    while ((open = word.find("{{")) != std::string::npos) {
      const std::size_t close = word.find("}}", open);
      const std::string name = word.substr(open + 2, close - open - 2);
      const auto value = settings.find(name);
      if (value == settings.end()) {
        std::fprintf(stderr, "no setting for %s\n", name.c_str());
        std::exit(kCannotRun);
      }
      word.replace(open, close + 2 - open, value->second);
    }
    command.push_back(word);
  }
  return command;
}

inline pid_t Spawn(const std::vector<std::string>& command,
                   const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0) {
    return pid;
  }
  // The process must not outlive the driver.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) {
    ::_exit(127);
  }
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, 1);
  ::dup2(out, 2);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

// The resident memory of a process in KiB; 0 if there is no such process.
inline long ResidentKib(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(line.c_str() + 6);
    }
  }
  return 0;
}

// The searchers' list of the platform. It is on a kept connection or a new one,
// and answers the whole list on one page.
class PlatformList {
 public:
  void Start(const Address& address) {
    this->server = std::make_unique<Server>(address, [this](int fd) {
      Reader reader(fd);
      Message request;
      while (reader.Read(request) == ReadResult::kMessage) {
        const std::string body = this->Body();
        ++this->reads;
        if (!WriteAll(fd, Format("HTTP/1.1 200 OK\r\nContent-Type: "
                                 "application/json\r\nContent-Length: %zu\r\n"
                                 "\r\n",
                                 body.size()) +
                              body)) {
          return;
        }
      }
    });
  }
  void SetEntry(const std::string& id, const std::string& entry) {
    const std::lock_guard lock(this->mutex);
    if (entry.empty()) {
      this->entries.erase(id);
    } else {
      this->entries[id] = entry;
    }
  }
  std::string Body() {
    const std::lock_guard lock(this->mutex);
    std::string body = "{\"Instances\":[";
    bool is_first = true;
    for (const auto& [id, entry] : this->entries) {
      body += (is_first ? "" : ",") + entry;
      is_first = false;
    }
    return body + "],\"NextPageToken\":null}";
  }
  std::atomic<long> reads = 0;

 private:
  std::mutex mutex;
  std::map<std::string, std::string> entries;
  std::unique_ptr<Server> server;
};

// A small deployment with the settings of the site kmp-zvoz: control VMs and
// entry VMs as separate processes on their own loopback addresses.
class Deployment {
 public:
  static constexpr int kFrontMemoryMb = 182;

  // `reserved_controls`: addresses for control VMs that are added later.
  Deployment(std::string work_folder,
             int control_count,
             int entry_count,
             int reserved_controls = 0)
      : work(std::move(work_folder)) {
    for (int i = 1; i <= control_count; ++i) {
      this->operator_list.push_back(i);
      if (i <= 3) {
        this->seed_numbers.push_back(i);
      }
    }
    std::mt19937 random(static_cast<unsigned>(
        ::getpid() * 7919 +
        std::chrono::steady_clock::now().time_since_epoch().count()));
    for (int attempt = 0; attempt < 50; ++attempt) {
      this->net = "127." + std::to_string(40 + random() % 180) + "." +
                  std::to_string(1 + random() % 250) + ".";
      const int base = 15000 + static_cast<int>(random() % 15000);
      this->operator_port = base;
      this->front_port = base + 1;
      this->ready_port = base + 2;
      this->internal_port = base + 3;
      this->list_port = base + 4;
      this->server_port = base + 5;
      bool is_free = IsFree({this->net + "5", this->list_port});
      for (int i = 1; i <= control_count + reserved_controls; ++i) {
        is_free = is_free && IsFree(this->Operators(i)) &&
                  IsFree({this->ControlIp(i), this->internal_port});
      }
      for (int i = 1; i <= entry_count; ++i) {
        is_free = is_free && IsFree(this->Front(i)) && IsFree(this->Ready(i)) &&
                  IsFree({this->EntryIp(i), this->internal_port});
      }
      if (is_free) {
        return;
      }
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(kCannotRun);
  }

  std::string ControlIp(int i) const {
    return this->net + std::to_string(10 + i);
  }
  std::string EntryIp(int i) const {
    return this->net + std::to_string(60 + i);
  }
  std::string SearcherIp(int i) const {
    return this->net + std::to_string(100 + i);
  }
  Address Operators(int i) const {
    return {this->ControlIp(i), this->operator_port};
  }
  Address Front(int i) const { return {this->EntryIp(i), this->front_port}; }
  Address Ready(int i) const { return {this->EntryIp(i), this->ready_port}; }
  Address List() const { return {this->net + "5", this->list_port}; }
  Address Searcher(int i) const {
    return {this->SearcherIp(i), this->server_port};
  }
  static std::string Zone(int i) {
    static const char* const zones[] = {"bb-a", "bb-b", "zv-a", "zv-b"};
    return zones[(i - 1) % 4];
  }

  // The settings that the platform gives to a process.
  std::map<std::string, std::string> Settings(const std::string& node,
                                              const std::string& zone) const {
    std::string seeds;
    for (const int i : this->seed_numbers) {
      seeds += (seeds.empty() ? "" : ",") + this->Operators(i).Text();
    }
    return {{"Node", node},
            {"Zone", zone},
            {"Seeds", seeds},
            {"InternalPortRange.0", std::to_string(this->internal_port)},
            {"Cloud.Address", this->List().Text()},
            {"FaultTolerance.Machines", "1"},
            {"Bounds.RetryBudgetRatio", "0.2"},
            {"Bounds.BudgetMinRetries", "119"},
            {"Bounds.BudgetWindowS", "10"},
            {"Bounds.GraceS", "6"}};
  }

  void StartControl(int i, bool first_start) {
    const std::string node = "core-" + Zone(i) + "-" + std::to_string(i);
    auto settings = this->Settings(node, Zone(i));
    settings["DataDir"] = this->work + "/" + node;
    ::mkdir(settings["DataDir"].c_str(), 0755);
    settings["BindAddresses.Control"] = this->Operators(i).Text();
    settings["Bootstrap"] = first_start ? "true" : "false";
    settings["Limits.CpuCores"] = "1";
    this->control_pids[i] = Spawn(DeployCommand("control", settings),
                                  this->work + "/" + node + ".log");
    TheRecord().Line("platform: started %s", node.c_str());
  }

  void StartEntry(int i) {
    const std::string node = "front-" + Zone(i) + "-" + std::to_string(i);
    auto settings = this->Settings(node, Zone(i));
    settings["BindAddresses.Front"] = this->Front(i).Text();
    settings["BindAddresses.Ready"] = this->Ready(i).Text();
    settings["Limits.CpuCores"] = "1";
    settings["Limits.CpuShare"] = "0.17";
    this->entry_pids[i] = Spawn(DeployCommand("entry", settings),
                                this->work + "/" + node + ".log");
    TheRecord().Line("platform: started %s", node.c_str());
  }

  static bool HasEnded(pid_t pid) {
    int status = 0;
    return ::waitpid(pid, &status, WNOHANG) == pid;
  }
  static void Kill(pid_t pid) {
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
  }

  void StopAll() {
    for (const auto& [i, pid] : this->entry_pids) {
      Kill(pid);
    }
    for (const auto& [i, pid] : this->control_pids) {
      Kill(pid);
    }
    this->entry_pids.clear();
    this->control_pids.clear();
  }

  // Sends a configuration like the operator: to one control VM after the other,
  // following 307 twice, until it is acknowledged. False after `timeout_s`.
  bool PutConfig(const std::string& config, double timeout_s) {
    Message answer;
    return this->AskOperatorApi("POST /v1/Config.Replace", config, timeout_s,
                                answer);
  }
  // Reads the configuration in the same way.
  bool ReadConfig(double timeout_s, std::string& config) {
    Message answer;
    const bool was_answered =
        this->AskOperatorApi("GET /v1/Config.Read", "", timeout_s, answer);
    config = answer.body;
    return was_answered;
  }
  bool AskOperatorApi(const std::string& call,
                      const std::string& body,
                      double timeout_s,
                      Message& answer) {
    const double end = Now() + timeout_s;
    for (std::size_t turn = 0; Now() < end; ++turn) {
      Address to = this->Operators(
          this->operator_list[turn % this->operator_list.size()]);
      for (int hop = 0; hop < 3; ++hop) {
        answer = {};
        const int status =
            Call(to,
                 Format("%s HTTP/1.1\r\nHost: %s\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n",
                        call.c_str(), to.Text().c_str(), body.size()) +
                     body,
                 1.0, answer);
        TheRecord().Line("operator: %s to %s answered %d", call.c_str(),
                         to.ip.c_str(), status);
        if (status == 200) {
          return true;
        }
        if (status != 307) {
          break;
        }
        const std::string location = answer.Field("location");
        const std::size_t host = location.find("://") + 3;
        const std::size_t colon = location.find(':', host);
        to = {location.substr(host, colon - host),
              std::atoi(location.c_str() + colon + 1)};
      }
      SleepMs(50);
    }
    return false;
  }

  bool IsReady(int i) const {
    Message answer;
    return Call(this->Ready(i), "GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n",
                1.0, answer) == 200;
  }
  bool WaitReady(int i, double timeout_s) const {
    const double end = Now() + timeout_s;
    while (Now() < end) {
      if (this->IsReady(i)) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

  std::string work;
  // The control VMs that the operator knows, and those that the settings name.
  std::vector<int> operator_list;
  std::vector<int> seed_numbers;
  std::string net;
  int operator_port = 0;
  int front_port = 0;
  int ready_port = 0;
  int internal_port = 0;
  int list_port = 0;
  int server_port = 0;
  std::map<int, pid_t> control_pids;
  std::map<int, pid_t> entry_pids;
};

// An entry of the platform's list.
inline std::string ListEntry(const std::string& id,
                             const std::string& service,
                             const Address& address,
                             const std::string& zone,
                             const std::string& state,
                             int slots,
                             std::int64_t born) {
  return Format(
      "{\"Id\":\"%s\",\"Backend\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
      "\"Version\":\"v1\",\"Capacity\":%d,\"State\":\"%s\","
      "\"ColdRemainingMs\":0,\"born\":%lld}",
      id.c_str(), service.c_str(), address.Text().c_str(), zone.c_str(), slots,
      state.c_str(), static_cast<long long>(born));
}

// A searcher's answer.
inline std::string Answer(int status,
                          const Message& request,
                          const std::string& stamp,
                          const std::string& more_fields,
                          const std::string& body) {
  return Format(
             "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n"
             "%sContent-Length: %zu\r\n\r\n",
             status, status == 200 ? "OK" : "Answer",
             request.Field("x-request-id").c_str(), stamp.c_str(),
             more_fields.c_str(), body.size()) +
         body;
}

// Command line of a driver: --record FILE --work FOLDER. TROUBLE=0 in the
// environment leaves the disruption out.
struct Options {
  std::string work;
  bool has_trouble = true;
};

inline Options Begin(int argc, char** argv) {
  Options options;
  for (int i = 1; i + 1 < argc; i += 2) {
    if (std::string(argv[i]) == "--record") {
      TheRecord().Open(argv[i + 1]);
    } else if (std::string(argv[i]) == "--work") {
      options.work = argv[i + 1];
    }
  }
  const char* trouble = std::getenv("TROUBLE");
  options.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  if (options.work.empty()) {
    std::fprintf(stderr, "usage: --record FILE --work FOLDER\n");
    std::exit(kCannotRun);
  }
  ::signal(SIGPIPE, SIG_IGN);
  Now();
  return options;
}

// Ends the driver without waiting for threads that serve connections.
[[noreturn]] inline void End(Deployment& deployment, int code) {
  deployment.StopAll();
  TheRecord().Say(code == kHeld     ? "result: the rule held"
                  : code == kBroken ? "result: THE RULE WAS BROKEN"
                                    : "result: could not run");
  std::fflush(nullptr);
  ::_exit(code);
}

}  // namespace review

#endif  // REVIEW_COMMON_HARNESS_H_
