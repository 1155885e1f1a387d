#include <LibNode/RowPartitions.h>

#include <xxhash.h>

namespace paddle {

namespace {

/// Number of partitions for jobs. 16 partitions suffice for 40 jobs a second
/// even while each transaction takes 60 times as long as usual. More would slow
/// down a takeover, which reads each partition once.
constexpr std::uint32_t kJobPartitionCount = 16;

} // namespace

std::string
RowPartitions::OfNodes() const
{
  return mTransactionsSpanPartitions ? "nodes" : "";
}

std::string
RowPartitions::OfShards() const
{
  return mTransactionsSpanPartitions ? "shards" : "";
}

std::string
RowPartitions::OfProgress(std::uint32_t aShard) const
{
  return mTransactionsSpanPartitions ? "shard-" + std::to_string(aShard) : "";
}

std::string
RowPartitions::OfBudgets() const
{
  return mTransactionsSpanPartitions ? "budgets" : "";
}

std::string
RowPartitions::OfJob(std::string_view aJob) const
{
  return JobPartition(static_cast<std::uint32_t>(
    XXH64(aJob.data(), aJob.size(), 0) % JobPartitionCount()));
}

std::uint32_t
RowPartitions::JobPartitionCount() const
{
  return mTransactionsSpanPartitions ? kJobPartitionCount : 1;
}

std::string
RowPartitions::JobPartition(std::uint32_t aIndex) const
{
  return mTransactionsSpanPartitions ? "jobs-" + std::to_string(aIndex) : "";
}

} // namespace paddle
