// Case 2: a searcher that was full sends a late second copy of its rejection.
// The request has been sent to it again by then, with the same id, and the
// second copy passes for the answer to that send. Counts the non-idempotent
// requests that run more than once.

#include <cmath>

#include "harness.h"

using namespace review;

namespace {

constexpr int kSearchers = 3;
constexpr int kSlots = 4;
constexpr int kQueue = 2;
constexpr double kOrderWorkMs = 40;
constexpr double kFetchWorkMs = 25;
// Clients of the other entry VM ask at the same moment, this often.
constexpr double kBurstEveryS = 0.3;
constexpr int kBurstClients = 30;
constexpr int kOrderClients = 3;
// garble, how = "extra late": share 0.6, x 0.03, for 5 s.
constexpr double kMaxShareOfAnswers = 0.03;
constexpr double kTroubleSeconds = 5;
constexpr int kTroubles = 11;

std::atomic<bool> trouble_is_on = false;
std::atomic<long> stamp_counter = 0;
std::atomic<long> late_copies = 0;
std::atomic<bool> clients_stop = false;

std::mutex runs_mutex;
std::map<std::string, std::vector<std::string>> runs;  // by order

std::string Config() {
  return R"({"Version":3,"Routes":[
 {"Name":"order","Host":"obnova.example","PathPrefix":"/order/","RouteType":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":500,"Priority":1,"Backend":"obnova","Attempts":2},
 {"Name":"fetch","Host":"obnova.example","PathPrefix":"/fetch/","RouteType":"idempotent","TimeoutMs":3000,"TargetLatencyMs":500,"Priority":2,"Backend":"obnova","Attempts":2}],
 "Backends":[{"Name":"obnova","HealthPath":"/health","MaxConnections":234,"Protocol":"h1","Tls":false}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

// A searcher with slots and a short queue. It rejects what does not fit.
class Searcher {
 public:
  Searcher(std::string searcher_id, bool garbles)
      : id(std::move(searcher_id)), has_trouble(garbles) {}

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    // The second copy of the last answer on this connection, if there is one.
    std::string late_copy;
    std::string copied_id;
    while (reader.Read(request) == ReadResult::kMessage) {
      const std::string request_id = request.Field("x-request-id");
      if (!late_copy.empty()) {
        // "An extra response may arrive late, at the point where the next
        // response is expected."
        TheRecord().Line(
            "searcher %s: late second copy of the rejection of %s, "
            "before the answer to %s",
            this->id.c_str(), copied_id.c_str(), request_id.c_str());
        WriteAll(fd, std::exchange(late_copy, ""));
      }
      if (request.Target() == "/health") {
        WriteAll(fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + this->id +
                         "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      ++this->answers;
      this->answers_in_trouble += trouble_is_on ? 1 : 0;
      if (request.Field("x-expect-instance") != this->id) {
        WriteAll(fd, Answer(421, request, "s", "X-Not-Executed: 1\r\n", ""));
        continue;
      }
      const bool is_order = request.Method() == "POST";
      if (!this->Enter()) {
        const std::string rejection =
            Answer(503, request, Format("s.%ld", ++stamp_counter),
                   "X-Not-Executed: 1\r\nX-Server-Load: 4,2,4\r\n", "");
        if (is_order) {
          TheRecord().Line("searcher %s: full, rejects %s", this->id.c_str(),
                           request_id.c_str());
        }
        if (this->has_trouble && trouble_is_on && is_order &&
            static_cast<double>(this->copies + 1) <=
                kMaxShareOfAnswers *
                    static_cast<double>(this->answers_in_trouble)) {
          ++this->copies;
          ++late_copies;
          late_copy = rejection;
          copied_id = request_id;
        }
        WriteAll(fd, rejection);
        continue;
      }
      if (is_order) {
        TheRecord().Line("searcher %s: runs %s", this->id.c_str(),
                         request_id.c_str());
        const std::lock_guard lock(runs_mutex);
        runs[request_id].push_back(this->id);
      }
      SleepMs(is_order ? kOrderWorkMs : kFetchWorkMs);
      this->Leave();
      if (!WriteAll(
              fd, Answer(200, request, Format("s.%ld", ++stamp_counter),
                         "X-Server-Load: 4,2,4\r\n", std::string(1500, 'x')))) {
        return;
      }
    }
  }

  std::atomic<long> answers = 0;
  std::atomic<long> answers_in_trouble = 0;
  std::atomic<long> copies = 0;

 private:
  // Takes a slot, after a wait in the queue if need be. False if it is full.
  bool Enter() {
    std::unique_lock lock(this->mutex);
    if (this->running >= kSlots) {
      if (this->waiting >= kQueue) {
        return false;
      }
      ++this->waiting;
      while (this->running >= kSlots) {
        lock.unlock();
        SleepMs(1);
        lock.lock();
      }
      --this->waiting;
    }
    ++this->running;
    return true;
  }
  void Leave() {
    const std::lock_guard lock(this->mutex);
    --this->running;
  }

  const std::string id;
  const bool has_trouble;
  std::mutex mutex;
  int running = 0;
  int waiting = 0;
};

std::atomic<long> orders_sent = 0;
std::atomic<long> orders_served = 0;
std::atomic<long> orders_refused = 0;
std::atomic<long> fetches_served = 0;

// A client that keeps its connection. It never sends an order again.
void RunClient(const Deployment& deployment,
               int entry,
               int number,
               bool is_order) {
  Connection connection;
  for (long i = 0; !clients_stop; ++i) {
    if (!connection.is_open()) {
      if (!connection.Connect(deployment.Front(entry), 1)) {
        SleepMs(100);
        continue;
      }
      connection.SetTimeout(5);
    }
    const std::string id =
        Format("%s-%d-%ld", is_order ? "order" : "fetch", number, i);
    Message answer;
    if (is_order) {
      ++orders_sent;
      TheRecord().Line("client: sends %s", id.c_str());
    }
    const bool was_sent = connection.Send(
        is_order ? Format("POST /order/%ld HTTP/1.1\r\nHost: obnova.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
                          "Content-Length: 3\r\n\r\nx=1",
                          i, id.c_str())
                 : Format("GET /fetch/%ld HTTP/1.1\r\nHost: obnova.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n",
                          i, id.c_str()));
    const ReadResult result =
        was_sent ? connection.Read(answer) : ReadResult::kReset;
    const int status = result == ReadResult::kMessage ? answer.Status() : 0;
    if (is_order) {
      TheRecord().Line("client: %s answered %d", id.c_str(), status);
      orders_served += status == 200 ? 1 : 0;
      orders_refused += status == 503 ? 1 : 0;
    } else {
      fetches_served += status == 200 ? 1 : 0;
    }
    if (result != ReadResult::kMessage ||
        answer.Field("connection") == "close") {
      connection.Close();
    }
    if (is_order) {
      SleepMs(10 + static_cast<double>((i * 37 + number * 13) % 41));
    } else {
      const double next = (std::floor(Now() / kBurstEveryS) + 1) * kBurstEveryS;
      SleepMs((next - Now()) * 1000);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = Begin(argc, argv);
  Deployment deployment(options.work, 3, 2);
  PlatformList list;
  std::vector<std::unique_ptr<Searcher>> searchers;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 1; i <= kSearchers; ++i) {
    const std::string id = Format("i-%02d", i);
    searchers.push_back(
        std::make_unique<Searcher>(id, i == 1 && options.has_trouble));
    servers.push_back(std::make_unique<Server>(
        deployment.Searcher(i),
        [searcher = searchers.back().get()](int fd) { searcher->Serve(fd); }));
    list.SetEntry(
        id, ListEntry(id, "obnova", deployment.Searcher(i), Deployment::Zone(i),
                      "ready", kSlots, UnixMs()));
  }
  list.Start(deployment.List());
  for (int i = 1; i <= 3; ++i) {
    deployment.StartControl(i, true);
  }
  deployment.StartEntry(1);
  deployment.StartEntry(2);
  if (!deployment.PutConfig(Config(), 15) || !deployment.WaitReady(1, 15) ||
      !deployment.WaitReady(2, 15)) {
    End(deployment, kCannotRun);
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kBurstClients; ++i) {
    clients.emplace_back(RunClient, std::cref(deployment), 2, i, false);
  }
  for (int i = 0; i < kOrderClients; ++i) {
    clients.emplace_back(RunClient, std::cref(deployment), 1, i, true);
  }
  SleepMs(4000);
  if (fetches_served < 20 || orders_sent < 5) {
    End(deployment, kCannotRun);
  }
  for (int i = 0; i < kTroubles; ++i) {
    TheRecord().Say("trouble begins");
    trouble_is_on = true;
    SleepMs(kTroubleSeconds * 1000);
    trouble_is_on = false;
    TheRecord().Say("trouble ends");
    SleepMs(2000);
  }
  clients_stop = true;
  SleepMs(3500);
  long doubled = 0;
  {
    const std::lock_guard lock(runs_mutex);
    for (const auto& [id, where] : runs) {
      if (where.size() > 1) {
        ++doubled;
        std::string text = "order " + id + " ran " +
                           std::to_string(where.size()) + " times, on";
        for (const std::string& searcher : where) {
          text += " " + searcher;
        }
        TheRecord().Say(text);
      }
    }
  }
  TheRecord().Say(Format(
      "orders sent %ld, served %ld, refused 503 %ld; fetches served %ld; "
      "searcher i-01 gave %ld answers, %ld of them in trouble, and %ld late "
      "second copies; orders that ran more than once: %ld (0 allowed)",
      orders_sent.load(), orders_served.load(), orders_refused.load(),
      fetches_served.load(), searchers[0]->answers.load(),
      searchers[0]->answers_in_trouble.load(), searchers[0]->copies.load(),
      doubled));
  End(deployment, doubled > 0 ? kBroken : kHeld);
}
