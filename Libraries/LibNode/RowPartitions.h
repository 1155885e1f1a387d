#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace paddle {

/// Chooses the partition of the store for each kind of row. The store applies
/// the transactions of a partition one after the other, and it refuses a
/// transaction that would wait for more than a second. Rows of different
/// writers therefore must not share a partition: while the store is slow, one
/// writer's transactions would make it refuse another's.
struct RowPartitions
{
  /// Whether a transaction may write to several partitions. If it may not, all
  /// rows share the partition with the empty name.
  bool mTransactionsSpanPartitions = true;

  /// @return the partition of the nodes' rows, which are their heartbeats
  [[nodiscard]] std::string OfNodes() const;
  /// @return the partition of the layout row and of the shards' rows, with
  ///         which owners renew their leases
  [[nodiscard]] std::string OfShards() const;
  /// @return the partition of a shard's progress, which only the shard's owner
  ///         writes
  [[nodiscard]] std::string OfProgress(std::uint32_t aShard) const;
  /// @return the partition of the budgets of client accounts, which the owners
  ///         of all shards write
  [[nodiscard]] std::string OfBudgets() const;
  /// @return the partition of the rows that any node may write about a job: its
  ///         status row and its inbox rows
  [[nodiscard]] std::string OfJob(std::string_view aJob) const;
  /// @return the number of partitions over which jobs are spread
  [[nodiscard]] std::uint32_t JobPartitionCount() const;
  /// @param aIndex less than JobPartitionCount()
  /// @return the name of that partition
  [[nodiscard]] std::string JobPartition(std::uint32_t aIndex) const;
};

} // namespace paddle
