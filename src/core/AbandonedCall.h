// Facts about a call that ended without an answer: what was written, when, and
// how its connection ended.
//
// The receiver may have executed such a call. If its connection was closed, the
// kernel still delivers the written bytes when the path works again, so the
// call may also be executed later.
#ifndef AMARANTHSPUR_CORE_ABANDONEDCALL_H
#define AMARANTHSPUR_CORE_ABANDONEDCALL_H

#include "core/Clock.h"
#include "core/Names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthspur {

/// How the connection of a call without an answer ended.
enum class ConnectionEnd {
  Closed, ///< The kernel still delivers the bytes that it has accepted.
  Reset,  ///< Bytes that were not delivered yet are discarded.
  Lost,   ///< The peer or the kernel ended it before the sender did.
};

template <> struct EnumNames<ConnectionEnd> {
  static constexpr auto Entries =
      std::to_array<std::pair<ConnectionEnd, std::string_view>>(
          {{ConnectionEnd::Closed, "closed"},
           {ConnectionEnd::Reset, "reset"},
           {ConnectionEnd::Lost, "lost"}});
};

/// What a call asks for.
enum class CallKind {
  Read, ///< Changes nothing, so it is not reported if it is given up.
  Promotion,
  RowWrite,
  ObjectWrite,
  StepDown,
  Pause,
  Resume,
  Statement, ///< A statement of a caller.
  Session,   ///< A setting, prepared statement, rollback or reset.
};

template <> struct EnumNames<CallKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<CallKind, std::string_view>>(
          {{CallKind::Read, "read"},
           {CallKind::Promotion, "promotion"},
           {CallKind::RowWrite, "row-write"},
           {CallKind::ObjectWrite, "object-write"},
           {CallKind::StepDown, "step-down"},
           {CallKind::Pause, "pause"},
           {CallKind::Resume, "resume"},
           {CallKind::Statement, "statement"},
           {CallKind::Session, "session"}});
};

/// What a call is about. Fields that do not apply are empty or 0.
struct CallSubject {
  CallKind Kind = CallKind::Read;
  std::string Service;
  std::string Target;      ///< Server, key of a row or name of an object.
  std::uint64_t Term = 0;  ///< Term that the server is to adopt.
  std::uint64_t Fence = 0; ///< Fencing token, or the version to replace.
};

/// A call that ended without an answer.
struct AbandonedCall {
  CallSubject Subject;
  std::size_t Written = 0; ///< Number of bytes that the kernel accepted.
  Duration SinceWritten{}; ///< Time from the write until it was given up.
  ConnectionEnd End = ConnectionEnd::Closed;
};

/// Is told of calls that ended without an answer.
class AbandonedCallObserver {
public:
  virtual ~AbandonedCallObserver() = default;
  /// Records \p Call. Must not call the object that reports it.
  virtual void recordAbandoned(const AbandonedCall &Call) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_ABANDONEDCALL_H
