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

/// Read, in this order: the revision of the shards with the named release
/// rows; the shard rows, if the revision differs from the known one; the
/// session rows. A session that is absent although a shard names it is gone
/// for good only if the sessions were read after the shards.
struct ReadLeaseRows
{
  /// Version of kShardRevisionKey at the last scan; nothing forces a scan.
  std::optional<std::uint64_t> mKnownRevision;
  std::vector<std::string> mReleases; ///< Members.
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

/// Result of ReadLeaseRows.
struct LeaseRows
{
  std::uint64_t mRevision = 0;
  /// Nothing if the shards were not scanned.
  std::optional<std::vector<LeaseRow<ShardRecord>>> mShards;
  std::vector<LeaseRow<SessionRecord>> mSessions;
  std::vector<LeaseRow<ReleaseRecord>> mReleases;
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
