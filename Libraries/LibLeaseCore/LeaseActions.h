#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <LibLeaseCore/LeaseRecords.h>

namespace paddle {

/// @name Keys of the rows in the table service
/// @{
inline constexpr const char* kSessionPrefix = "session/";
inline constexpr const char* kShardPrefix = "shard/";
inline constexpr const char* kReleasePrefix = "release/";
/// Each transaction that changes shard rows writes this row too, so that
/// processes scan the shard rows only after its version has changed.
inline constexpr const char* kShardRevisionKey = "lease/revision";
/// @}

/// Value that deletes a row.
struct RowDeletion
{};

/// Value for a row of which only the version matters.
struct RowTouch
{};

using LeaseRowValue =
  std::variant<SessionRecord, ShardRecord, RowDeletion, RowTouch>;

/// The transaction is committed only if the row has this version; version 0
/// means that the row is absent.
struct LeaseRowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/// One write of a transaction.
struct LeaseRowWrite
{
  std::string mKey;
  LeaseRowValue mValue;
};

/// The purpose of a transaction. ReportWrite() treats the result accordingly.
enum class LeaseWritePurpose
{
  Renew,           ///< Creates or renews the own session.
  EndOtherSession, ///< Ends another session and takes its shards if allowed.
  TakeShards,      ///< Takes shards that have no live owner.
  HandOver,        ///< Hands shards over to another live member.
  EndOwnSession    ///< Ends the own session when the process stops.
};

/// Action: commit this transaction.
struct WriteLeaseRows
{
  LeaseWritePurpose mPurpose = LeaseWritePurpose::Renew;
  std::vector<LeaseRowCondition> mConditions;
  std::vector<LeaseRowWrite> mWrites;
  /// EndOtherSession: name of the member whose session is ended.
  std::string mEndedMember;
};

/// The parts of a read of the table, in the order in which they are read.
/// Sessions are read after shards: only then does the absence of a session that
/// a shard row names prove that the session has ended.
enum class LeaseReadPart
{
  Revision, ///< Reads kShardRevisionKey and release rows.
  Shards,   ///< Reads all shard rows; needed after the revision has changed.
  Sessions  ///< Reads all session rows.
};

/// Action: read one part of the table. Each part is an action of its own, so
/// that a slow table service delays the next renewal by at most one call.
struct ReadLeaseRows
{
  LeaseReadPart mPart = LeaseReadPart::Revision;
  std::vector<std::string> mReleases; ///< Members whose release rows to read.
};

/// Action: ask this member for the promise not to end the own session for a
/// term.
struct AskPromise
{
  LeaseMember mPeer;
  Millis mTerm{ 0 };
};

using LeaseAction = std::variant<WriteLeaseRows, ReadLeaseRows, AskPromise>;

/// A row as it was read.
template<typename Record>
struct LeaseRow
{
  std::string mName; ///< The key without its prefix.
  std::uint64_t mVersion = 0;
  Record mRecord;
};

/// Result of ReadLeaseRows. Only the members of the part that was read are set.
struct LeaseRows
{
  std::uint64_t mRevision = 0; ///< Version of kShardRevisionKey.
  std::vector<LeaseRow<ReleaseRecord>> mReleases;
  std::vector<LeaseRow<ShardRecord>> mShards;
  std::vector<LeaseRow<SessionRecord>> mSessions;
};

/// How a transaction ended.
enum class LeaseWriteStatus
{
  Committed,
  Conflict,    ///< A condition did not hold; nothing was written.
  Unavailable, ///< The call failed; certainly nothing was written.
  Unknown      ///< The call failed; it may have been written, also later.
};

/// Result of WriteLeaseRows.
struct LeaseWriteResult
{
  LeaseWriteStatus mStatus = LeaseWriteStatus::Unknown;
  std::uint64_t mVersion = 0; ///< Committed: version of the written rows.
  /// Conflict: the own session row, if its condition did not hold and the row
  /// exists.
  std::optional<LeaseRow<SessionRecord>> mOwnSession;
};

} // namespace paddle
