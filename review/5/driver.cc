// Case 5: clients ask with HEAD on kept connections while the searchers are
// full for a while. Counts the answers that are followed by bytes that are no
// answer in the protocol.

#include "harness.h"

using namespace review;

namespace {

constexpr int kSearchers = 3;
constexpr double kTroubleSeconds = 5;

std::atomic<bool> is_full = false;
std::atomic<long> stamp_counter = 0;
std::atomic<bool> clients_stop = false;
std::atomic<long> answered = 0;
std::atomic<long> refused = 0;
std::atomic<long> wrong_bytes = 0;

std::string Config() {
  return R"({"Version":3,"Routes":[
 {"Name":"fetch","Host":"obnova.example","PathPrefix":"/fetch/","RouteType":"idempotent","TimeoutMs":3000,"TargetLatencyMs":500,"Priority":2,"Backend":"obnova","Attempts":2}],
 "Backends":[{"Name":"obnova","HealthPath":"/health","MaxConnections":234,"Protocol":"h1","Tls":false}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

void ServeSearcher(int fd, const std::string& id) {
  Reader reader(fd);
  Message request;
  while (reader.Read(request) == ReadResult::kMessage) {
    const std::string request_id = request.Field("x-request-id");
    const bool is_head = request.Method() == "HEAD";
    std::string answer;
    if (request.Field("x-expect-instance") != id) {
      answer = Answer(421, request, "s", "X-Not-Executed: 1\r\n", "");
    } else if (is_full) {
      TheRecord().Line("searcher %s: full, rejects %s", id.c_str(),
                       request_id.c_str());
      answer = Answer(503, request, Format("s.%ld", ++stamp_counter),
                      "X-Not-Executed: 1\r\nX-Server-Load: 4,16,4\r\n", "");
    } else {
      TheRecord().Line("searcher %s: runs %s", id.c_str(), request_id.c_str());
      SleepMs(20);
      answer = Answer(200, request, Format("s.%ld", ++stamp_counter),
                      "X-Server-Load: 1,0,4\r\n", std::string(1500, 'x'));
    }
    // The answer to HEAD has the head only.
    if (!WriteAll(fd, is_head ? answer.substr(0, answer.find("\r\n\r\n") + 4)
                              : answer)) {
      return;
    }
  }
}

// Asks with HEAD and GET by turns on a kept connection.
void RunClient(const Deployment& deployment, int number) {
  Connection connection;
  for (long i = 0; !clients_stop; ++i) {
    if (!connection.is_open()) {
      if (!connection.Connect(deployment.Front(1), 1)) {
        SleepMs(100);
        continue;
      }
      connection.SetTimeout(5);
    }
    const bool is_head = i % 2 == 0;
    const std::string id = Format("fetch-%d-%ld", number, i);
    TheRecord().Line("client: sends %s %s", is_head ? "HEAD" : "GET",
                     id.c_str());
    Message answer;
    ReadResult result = ReadResult::kReset;
    if (connection.Send(Format("%s /fetch/%ld HTTP/1.1\r\nHost: obnova.example"
                               "\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
                               "\r\n",
                               is_head ? "HEAD" : "GET", i, id.c_str()))) {
      result = connection.Read(answer, !is_head);
    }
    if (result != ReadResult::kMessage) {
      TheRecord().Line("client: %s ended without an answer", id.c_str());
      connection.Close();
      continue;
    }
    if (answer.start_line.rfind("HTTP/1.", 0) != 0) {
      ++wrong_bytes;
      TheRecord().Line("client: %s: where the answer is due stands \"%.60s\"",
                       id.c_str(), answer.start_line.c_str());
      connection.Close();
      continue;
    }
    TheRecord().Line("client: %s answered %d", id.c_str(), answer.Status());
    ++(answer.Status() == 200 ? answered : refused);
    if (answer.Field("connection") == "close") {
      connection.Close();
    }
    SleepMs(answer.Status() == 200 ? 50 : 120);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = Begin(argc, argv);
  Deployment deployment(options.work, 3, 1);
  PlatformList list;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 1; i <= kSearchers; ++i) {
    const std::string id = Format("i-%02d", i);
    servers.push_back(std::make_unique<Server>(
        deployment.Searcher(i), [id](int fd) { ServeSearcher(fd, id); }));
    list.SetEntry(id, ListEntry(id, "obnova", deployment.Searcher(i),
                                Deployment::Zone(i), "ready", 4, UnixMs()));
  }
  list.Start(deployment.List());
  for (int i = 1; i <= 3; ++i) {
    deployment.StartControl(i, true);
  }
  deployment.StartEntry(1);
  if (!deployment.PutConfig(Config(), 15) || !deployment.WaitReady(1, 15)) {
    End(deployment, kCannotRun);
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < 4; ++i) {
    clients.emplace_back(RunClient, std::cref(deployment), i);
  }
  SleepMs(4000);
  if (answered < 20) {
    End(deployment, kCannotRun);
  }
  is_full = options.has_trouble;
  TheRecord().Say("the searchers are full from now on, if there is trouble");
  SleepMs(kTroubleSeconds * 1000);
  is_full = false;
  SleepMs(3000);
  clients_stop = true;
  SleepMs(500);
  TheRecord().Say(
      Format("answered 200: %ld, refused: %ld, bytes that are no "
             "answer: %ld (0 allowed)",
             answered.load(), refused.load(), wrong_bytes.load()));
  End(deployment, wrong_bytes > 0 ? kBroken : kHeld);
}
