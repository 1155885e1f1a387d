#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include <LibTime/Time.h>

namespace paddle {

/// What the callers of all servers of a process may take together.
struct BudgetLimits
{
  /// Bytes that connections buffer. The requests that are being handled may
  /// take as much again, see kHandlingBytesPerBodyByte. The default is an
  /// eighth of the memory of the smallest host (160 MB).
  std::size_t mBytes = 20UL << 20;
  /// Half of the file descriptors of the smallest host; the other half is for
  /// connections to runners and to the store.
  std::size_t mConnections = 2000;
};

/// Smallest budget that is applied, so that a single request within the limits
/// is always served: its body may take 256 KiB, twice as much while it grows.
inline constexpr std::size_t kMinBudgetBytes = 1UL << 20;
/// Memory that is assumed for a connection beside what it buffers.
inline constexpr std::size_t kConnectionBytes = 1024;
/// Memory that is assumed for each byte of the body of a request that is being
/// handled, beside kConnectionBytes. A job of 1000 steps in 12 KB takes some
/// 400 KB until the store has it; usual ones take 8 times their body.
inline constexpr std::size_t kHandlingBytesPerBodyByte = 16;

/// @param aMemoryBytes memory of the host; nothing if it is not known
/// @param aDescriptors most file descriptors of the process; likewise
BudgetLimits
BudgetOf(std::optional<std::size_t> aMemoryBytes,
         std::optional<std::size_t> aDescriptors);

enum class ConnectionPhase
{
  Waiting,  ///< For its next request to be complete.
  Replying, ///< Its response is being written.
  Handling  ///< Its request is being handled.
};

/// What a connection takes.
struct ConnectionUse
{
  ConnectionPhase mPhase = ConnectionPhase::Waiting;
  std::size_t mBufferedBytes = 0;
  MonotonicTime mWaitingSince; ///< When it began to wait for a request.
};

/// How many connections and requests were refused, since the start.
struct BudgetCounts
{
  std::uint64_t mClosedForMemory = 0; ///< Connections beyond the bytes.
  std::uint64_t mClosedForOthers = 0; ///< Idle ones, for new connections.
  std::uint64_t mNotAccepted = 0;     ///< New ones without a place.
  std::uint64_t mNotBegun = 0;        ///< Requests that were answered with 503.
  std::uint64_t mMalformed = 0;       ///< Requests, likewise with 400,
  std::uint64_t mBodyTooLong = 0;     ///< with 413,
  std::uint64_t mHeadTooLong = 0;     ///< and with 431.

  bool operator==(const BudgetCounts&) const = default;
};

/// The connections of all servers of a process. It decides which of them are
/// closed when they exceed the limits together. It knows no sockets.
class ConnectionBudget
{
public:
  /// Identifies a connection.
  using Id = std::uint64_t;

  explicit ConnectionBudget(const BudgetLimits& aLimits);

  void SetLimits(const BudgetLimits& aLimits);

  /// Adds a connection. At the limit, the one that has waited for a request for
  /// longest is closed for it.
  /// @param aClose closes the connection, which is removed before
  /// @return nothing if there is no place, since no connection is waiting
  std::optional<Id> Add(MonotonicTime aNow, std::function<void()> aClose);
  void Remove(Id aConnection);

  /// Records what a connection takes. Beyond the limit of bytes it closes
  /// connections, perhaps this one: of those that wait for requests, or of
  /// those that reply, whichever take more than half of the limit, the one that
  /// takes most, and among equal ones the one that has waited for longest.
  /// Those whose request is being handled come last.
  void Update(Id aConnection, const ConnectionUse& aUse);

  /// Counts a request that is to be handled, unless those that are being
  /// handled would take too much memory with it. It may always be handled
  /// alone.
  /// @return whether it may be handled; then EndHandling() must follow, also if
  ///         its connection is closed before
  [[nodiscard]] bool BeginHandling(std::size_t aBodyBytes);
  void EndHandling(std::size_t aBodyBytes);

  /// @return whether input may be read that follows a request being handled.
  ///         Otherwise such input could make up the whole limit, and other
  ///         connections would be closed for it.
  [[nodiscard]] bool MayReadAhead() const;

  [[nodiscard]] std::size_t Connections() const { return mEntries.size(); }
  [[nodiscard]] std::size_t BufferedBytes() const;

  BudgetCounts mCounts;

private:
  struct Entry
  {
    ConnectionUse mUse;
    std::function<void()> mClose;
  };
  using Entries = std::map<Id, Entry>;

  /// Adds a use to the sums, or removes it.
  void Count(const ConnectionUse& aUse);
  void Uncount(const ConnectionUse& aUse);
  std::size_t& BytesIn(ConnectionPhase aPhase);
  /// @return the connection to close; there must be one
  [[nodiscard]] Entries::const_iterator ChooseByBytes() const;
  /// Closes connections until the rest is within the limit.
  void Enforce();
  void Close(Entries::const_iterator aEntry);

  BudgetLimits mLimits;
  Entries mEntries;
  Id mLastId = 0;
  std::size_t mWaitingBytes = 0;
  std::size_t mReplyingBytes = 0;
  std::size_t mHandlingBytes = 0;
  std::size_t mHandledRequestBytes = 0; ///< What they are assumed to take.
};

} // namespace paddle
