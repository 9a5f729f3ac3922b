// A stand-in of the platform: its metadata store, and the promotion call.
//
// Rows live in memory. Every answer has the header Store-Era. The store can be
// away for a moment and come back from a copy of itself; versions then go back
// and are given out again, a feed from a version that it does not have gets
// 410, and the era rises by one.
#ifndef REVIEW_HARNESS_STORE_H
#define REVIEW_HARNESS_STORE_H

#include "Http.h"
#include "Json.h"
#include "Record.h"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace review {

/// What the platform answers to a promotion order.
using OrderHandler =
    std::function<int(const std::string &Service, const std::string &Target)>;

/// An order as the platform received it.
struct Order {
  double AtMs;
  std::string Service, Target, Holder;
  std::uint64_t Fence;
};

class Store {
public:
  explicit Store(Record &Events) : Events(Events) {}

  /// Starts to listen for rows and for orders on two ports.
  bool start(OrderHandler Handler) {
    OnOrder = std::move(Handler);
    RowsSocket = listenOn("127.0.0.1", 0);
    OrdersSocket = listenOn("127.0.0.1", 0);
    if (RowsSocket < 0 || OrdersSocket < 0)
      return false;
    std::thread([this] { acceptAll(RowsSocket, true); }).detach();
    std::thread([this] { acceptAll(OrdersSocket, false); }).detach();
    return true;
  }
  int rowsPort() const { return portOf(RowsSocket); }
  int ordersPort() const { return portOf(OrdersSocket); }

  /// Writes a row of the operator or of a server. \returns its version, or 0
  /// while the store is away.
  std::uint64_t put(const std::string &Table, const std::string &Key,
                    const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Away)
      return 0;
    State.Rows[{Table, Key}] = {++State.Version, base64(Value), false};
    Changed.notify_all();
    return State.Version;
  }
  void remove(const std::string &Table, const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Away)
      return;
    State.Rows[{Table, Key}] = {++State.Version, "", true};
    Changed.notify_all();
  }
  std::uint64_t version() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return State.Version;
  }

  /// Makes the copy that comeBack() uses.
  void copy() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Copy = State;
    Events.note("store: copy made at version " + std::to_string(Copy.Version));
  }
  /// Ends all connections and refuses new ones.
  void goAway() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Away = true;
    for (const std::shared_ptr<Connection> &C : Open)
      C->shut();
    Changed.notify_all();
    Events.note("store: away at version " + std::to_string(State.Version));
  }
  /// Serves again, from the copy.
  void comeBack() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    State = Copy;
    ++Era;
    Away = false;
    Events.note("store: back from the copy, version " +
                std::to_string(State.Version) + ", era " +
                std::to_string(Era));
  }

  std::vector<Order> orders() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Orders;
  }
  /// Returns the calls about rows since the last use of this function.
  std::uint64_t takeCalls() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return std::exchange(Calls, 0);
  }

private:
  using RowKey = std::pair<std::string, std::string>;
  struct Row {
    std::uint64_t Version = 0;
    std::string Value; ///< Base64.
    bool Deleted = false;
  };
  struct Content {
    std::map<RowKey, Row> Rows;
    std::uint64_t Version = 0;
  };

  void acceptAll(int Listener, bool OfRows) {
    while (true) {
      const int S = accept(Listener, nullptr, nullptr);
      if (S < 0)
        return;
      const auto C = std::make_shared<Connection>(S);
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        if (OfRows && Away)
          continue;
        if (OfRows)
          Open.insert(C);
      }
      std::thread([this, C, OfRows] { serve(C, OfRows); }).detach();
    }
  }

  void serve(const std::shared_ptr<Connection> &C, bool OfRows) {
    while (const std::optional<HttpRequest> R = readRequest(*C)) {
      int Status = 404;
      std::string Body = "{}";
      if (OfRows)
        answer(*R, Status, Body);
      else
        Status = order(*R);
      std::string Head = "HTTP/1.1 " + std::to_string(Status) +
                         " X\r\nContent-Type: application/json\r\n";
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        if (OfRows && Away)
          break;
        Head += "Store-Era: " + std::to_string(Era) + "\r\n";
      }
      if (!C->write(Head + "Content-Length: " + std::to_string(Body.size()) +
                    "\r\n\r\n" + Body))
        break;
    }
    const std::lock_guard<std::mutex> Lock(Mutex);
    Open.erase(C);
  }

  void answer(const HttpRequest &R, int &Status, std::string &Body) {
    const auto Value = [&R](const char *Name) {
      const auto Found = R.Query.find(Name);
      return Found == R.Query.end() ? std::string() : Found->second;
    };
    sleepMs(CallMs);
    std::unique_lock<std::mutex> Lock(Mutex);
    ++Calls;
    if (R.Path == "/rows-get") {
      const std::string Limit = Value("limit");
      Status = 200;
      Body = page(rows(Value("table"), 0, Value("from"),
                       Limit.empty() ? MaxPage : std::stoul(Limit), false));
    } else if (R.Path == "/rows-feed") {
      const std::uint64_t After = std::stoull(Value("after"));
      const auto Until = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::stol(Value("wait-ms")));
      if (After > State.Version) {
        Status = 410;
        return;
      }
      const std::uint64_t Began = Era;
      auto Found = rows(Value("table"), After, "", MaxPage, true);
      while (Found.empty() && !Away && Began == Era &&
             Changed.wait_until(Lock, Until) == std::cv_status::no_timeout)
        Found = rows(Value("table"), After, "", MaxPage, true);
      Status = 200;
      Body = page(Found);
    } else if (R.Path == "/rows-tx") {
      Status = transact(R.Body, Body);
    }
  }

  std::vector<std::pair<RowKey, Row>> rows(const std::string &Table,
                                           std::uint64_t After,
                                           const std::string &From,
                                           std::size_t Limit, bool Feed) {
    std::vector<std::pair<RowKey, Row>> Found;
    for (const auto &[At, R] : State.Rows)
      if (At.first == Table && At.second >= From && R.Version > After &&
          (Feed || !R.Deleted) && Found.size() < Limit)
        Found.emplace_back(At, R);
    if (Feed)
      std::sort(Found.begin(), Found.end(), [](const auto &A, const auto &B) {
        return A.second.Version < B.second.Version;
      });
    return Found;
  }

  std::string page(const std::vector<std::pair<RowKey, Row>> &Rows) const {
    std::string Out = "{\"rows\":[";
    for (const auto &[At, R] : Rows) {
      if (Out.back() != '[')
        Out += ',';
      Out += "{\"table\":" + quoted(At.first) + ",\"part\":\"\",\"key\":" +
             quoted(At.second) + ",\"row-version\":" +
             std::to_string(R.Version) + ",\"value\":" + quoted(R.Value) +
             (R.Deleted ? ",\"deleted\":true}" : "}");
    }
    return Out + "],\"has-more\":false,\"row-version\":" +
           std::to_string(State.Version) + ",\"now-ms\":" +
           std::to_string(static_cast<long>(nowMs())) + "}";
  }

  int transact(const std::string &Text, std::string &Body) {
    const Json Call = JsonParser(Text).parse();
    std::vector<std::pair<RowKey, Row>> Present;
    bool Holds = true;
    for (const Json &E : Call["expected"].Items) {
      const RowKey At(E["table"].Text, E["key"].Text);
      const auto Found = State.Rows.find(At);
      const bool Exists = Found != State.Rows.end() && !Found->second.Deleted;
      Holds = Holds && (Exists ? Found->second.Version : 0) ==
                           E["row-version"].number();
      if (Exists)
        Present.emplace_back(At, Found->second);
    }
    if (!Holds) {
      Body = page(Present);
      return 412;
    }
    ++State.Version;
    for (const Json &E : Call["set-keys"].Items)
      State.Rows[{E["table"].Text, E["key"].Text}] = {State.Version,
                                                      E["value"].Text, false};
    for (const Json &E : Call["remove"].Items)
      State.Rows[{E["table"].Text, E["key"].Text}] = {State.Version, "", true};
    Changed.notify_all();
    Body = page({});
    return 200;
  }

  int order(const HttpRequest &R) {
    const Json Call = JsonParser(R.Body).parse();
    const auto Header = [&R](const char *Name) {
      const auto Found = R.Headers.find(Name);
      return Found == R.Headers.end() ? std::string() : Found->second;
    };
    const Order O{nowMs(), Call["service"].Text, Call["id"].Text,
                  Header("duty-holder"),
                  std::strtoull(Header("fence-token").c_str(), nullptr, 10)};
    sleepMs(CallMs);
    const int Status = OnOrder(O.Service, O.Target);
    Events.note("platform: order to promote " + O.Target + " of " + O.Service +
                " by " + O.Holder + ", epoch number " +
                std::to_string(O.Fence) + ", answered " +
                std::to_string(Status));
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.push_back(O);
    return Status;
  }

  /// Time of a call (sheet of the sites: 4 ms an answer).
  static constexpr double CallMs = 4;
  static constexpr std::size_t MaxPage = 500;

  Record &Events;
  OrderHandler OnOrder;
  int RowsSocket = -1;
  int OrdersSocket = -1;
  std::mutex Mutex;
  std::condition_variable Changed;
  Content State;
  Content Copy;
  std::uint64_t Era = 1;
  bool Away = false;
  std::uint64_t Calls = 0;
  std::set<std::shared_ptr<Connection>> Open;
  std::vector<Order> Orders;
};

} // namespace review

#endif // REVIEW_HARNESS_STORE_H
