// The platform of a soak: its metadata store and its promotion call.
#ifndef AMARANTHSPUR_BENCH_SOAK_STORE_H
#define AMARANTHSPUR_BENCH_SOAK_STORE_H

#include "bench/soak/Record.h"
#include "bench/soak/TextStream.h"
#include "core/Random.h"

#include <QJsonObject>
#include <QTcpServer>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace amaranthspur::bench::soak {

/// How the store treats calls.
enum class StoreFault {
  None,
  Silent,      ///< Calls are not performed and get no answer.
  Slow,        ///< Calls take longer.
  Refusing,    ///< Calls get 503.
  LosesAnswer, ///< Some calls are performed and get no answer.
  Late,        ///< Some calls get no answer and are performed seconds later.
};

/// The calls of which six tenths get no answer and are performed 1 to 6 s late.
enum class LateCalls {
  None,
  Writes, ///< Transactions, and the servers' writes of their rows.
  Orders, ///< The platform has received the order when it is sent.
};

/// Keeps rows in memory and serves them over HTTP on a loopback address, with
/// one task for each connection.
class Store {
public:
  /// Receives an order, which is carried out \p Late later. \returns the status
  /// of the answer.
  using OrderHandler = std::function<int(
      const std::string &Service, const std::string &Target,
      const std::string &Holder, std::uint64_t Fence, Duration Late)>;

  Store(Record &Events, TaskGroup &Tasks, OrderHandler OnOrder);

  /// Starts to listen.
  Result<Success> listen();
  Address address() const;

  /// Writes a row of the operator or of a server.
  void put(const std::string &Table, const std::string &Key,
           const QByteArray &Value);
  /// Writes the row of a server, late if its turn comes, unless a later write
  /// of the row was performed before.
  /// \param OnPerformed called once the row is written.
  void putServer(const std::string &Id, const QByteArray &Value,
                 std::function<void()> OnPerformed);
  /// Removes a row.
  void remove(const std::string &Table, const std::string &Key);

  void setFault(StoreFault Fault) { this->Fault = Fault; }
  StoreFault fault() const { return this->Fault; }
  /// Remembers the rows for comeBack().
  void copy();
  /// Advances the version as \p Count writes to tables would that nothing here
  /// reads.
  void skipVersions(std::uint64_t Count) { this->State.Version += Count; }
  /// Performs and answers no calls about rows until comeBack(). Those that are
  /// under way end without an answer.
  void goAway();
  /// Serves the rows of the copy, in the next era. Versions are given out
  /// again. \param ClockReturns whether the clock goes back with the rows.
  void comeBack(bool ClockReturns);
  /// Returns the keys of the rows of \p Table.
  std::vector<std::string> keys(const std::string &Table) const;

  /// \param Seed of the choice of calls and of their delays.
  void setLateCalls(LateCalls Calls, std::uint64_t Seed);

  /// Ends all connections and waits.
  void stop();

private:
  struct Row {
    std::uint64_t Version = 0;
    QByteArray Value;
    bool Deleted = false;
  };
  struct Request {
    std::string Method;
    std::string Target;
    std::map<std::string, std::string> Headers;
    std::string Body;
  };
  struct Answer {
    int Status = 200;
    QJsonObject Body;
  };
  using Key = std::pair<std::string, std::string>;
  struct Contents {
    std::map<Key, Row> Rows;
    std::uint64_t Version = 0;
  };

  QCoro::Task<> serve(std::shared_ptr<TextStream> Stream);
  QCoro::Task<std::optional<Request>> readRequest(TextStream &Stream);
  /// Applies the fault in force. \returns nothing if there is no answer.
  QCoro::Task<std::optional<Answer>> answer(const Request &Call);
  QCoro::Task<Answer> perform(const Request &Call);
  QCoro::Task<Answer> feed(std::string Table, std::uint64_t After,
                           Duration Wait);
  QCoro::Task<> performLater(Request Call, Duration Late);
  QCoro::Task<> putServerLate(std::string Id, QByteArray Value,
                              std::uint64_t Number, Duration Late,
                              std::function<void()> OnPerformed);
  /// Returns how late a call of the kind \p Kind is performed; 0: in time.
  Duration drawLateness(LateCalls Kind);
  Answer readRows(const std::string &Table, const std::string &From,
                  std::size_t Limit) const;
  Answer transact(const std::string &Body);
  Answer order(const Request &Call, Duration Late);
  /// Returns whether \p Call, which arrived in the era \p Arrived, ends without
  /// an answer because the store has gone away.
  bool isLost(const Request &Call, std::uint64_t Arrived) const;
  std::vector<std::pair<Key, Row>> changes(const std::string &Table,
                                           std::uint64_t After) const;
  QJsonObject page(const std::vector<std::pair<Key, Row>> &Rows) const;
  void change(const Key &At, const QByteArray &Value, bool Deleted);

  Record &Events;
  TaskGroup &Tasks;
  OrderHandler OnOrder;
  std::unique_ptr<QTcpServer> Listener;
  std::set<std::shared_ptr<TextStream>> Streams;
  Contents State;
  Contents Copy;
  double CopiedAt = 0;
  double ClockBehind = 0; ///< Of the record's clock, in ms.
  std::uint64_t Era = 1;
  bool Away = false;
  TaskCondition Changed;
  StoreFault Fault = StoreFault::None;
  unsigned Calls = 0;
  LateCalls Late = LateCalls::None;
  Random Lateness{0};
  std::uint64_t ServerWrites = 0; ///< Offered so far; numbers the next one.
  std::map<std::string, std::uint64_t> LastServerWrite; ///< Performed, by row.
  bool Stopping = false;
};

} // namespace amaranthspur::bench::soak

namespace amaranthspur {

template <> struct EnumNames<bench::soak::StoreFault> {
  using Kind = bench::soak::StoreFault;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::None, "none"},
           {Kind::Silent, "silent"},
           {Kind::Slow, "slow"},
           {Kind::Refusing, "refusing"},
           {Kind::LosesAnswer, "loses-answers"},
           {Kind::Late, "late"}});
};

template <> struct EnumNames<bench::soak::LateCalls> {
  using Kind = bench::soak::LateCalls;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::None, "none"},
           {Kind::Writes, "writes"},
           {Kind::Orders, "orders"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_SOAK_STORE_H
