#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <LibLeaseCore/LeaseRecords.h>

namespace paddle {

/// @name Keys of the rows
/// @{
inline constexpr const char* kSessionPrefix = "session/";
inline constexpr const char* kShardPrefix = "shard/";
inline constexpr const char* kReleasePrefix = "release/";
/// Written by each transaction that changes shard rows, so that processes
/// scan those only after a change.
inline constexpr const char* kShardRevisionKey = "lease/revision";
/// @}

/// Deletes a row.
struct RowDeletion
{};

/// Writes a row whose value does not matter.
struct RowTouch
{};

using LeaseRowValue =
  std::variant<SessionRecord, ShardRecord, RowDeletion, RowTouch>;

struct LeaseRowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

struct LeaseRowWrite
{
  std::string mKey;
  LeaseRowValue mValue;
};

/// What a transaction is for; decides how its result is taken.
enum class LeaseWritePurpose
{
  Renew, ///< Creates or renews the own session.
  End,   ///< Ends another session and takes its shards if it may.
  Take,  ///< Takes shards that have no live owner.
  HandOver,
  Leave ///< Ends the own session.
};

/// Commit this transaction.
struct WriteLeaseRows
{
  LeaseWritePurpose mPurpose = LeaseWritePurpose::Renew;
  std::vector<LeaseRowCondition> mConditions;
  std::vector<LeaseRowWrite> mWrites;
  std::string mMember; ///< End: the member whose session is ended.
};

/// The parts of a read of the table, in their order. A session that is absent
/// although a shard names it is gone for good only if the sessions were read
/// after the shards.
enum class LeaseReadPart
{
  Revision, ///< kShardRevisionKey and release rows.
  Shards,   ///< All shard rows; only after the revision has changed.
  Sessions  ///< All session rows.
};

/// Read one part. Each part is an action of its own, so that a slow table
/// service delays the next renewal by one call at most.
struct ReadLeaseRows
{
  LeaseReadPart mPart = LeaseReadPart::Revision;
  std::vector<std::string> mReleases; ///< Members whose release is of interest.
};

/// Ask this member not to end the own session for a term.
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

/// Result of ReadLeaseRows; holds the rows of the part that was read.
struct LeaseRows
{
  std::uint64_t mRevision = 0;
  std::vector<LeaseRow<ReleaseRecord>> mReleases;
  std::vector<LeaseRow<ShardRecord>> mShards;
  std::vector<LeaseRow<SessionRecord>> mSessions;
};

enum class LeaseWriteStatus
{
  Committed,
  Conflict,
  Unavailable, ///< Surely not written.
  Unknown
};

/// Result of WriteLeaseRows.
struct LeaseWriteResult
{
  LeaseWriteStatus mStatus = LeaseWriteStatus::Unknown;
  std::uint64_t mVersion = 0; ///< Committed: version of the written rows.
  /// Conflict: the own session row, if its condition did not hold and the
  /// row exists.
  std::optional<LeaseRow<SessionRecord>> mOwnSession;
};

} // namespace paddle
