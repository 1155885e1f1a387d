#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace paddle {

/// Which part of the store a row belongs to. The store writes each part one
/// transaction after the other and refuses what would wait for over a second,
/// so while it is slow, rows of different writers must not share a part.
struct RowParts
{
  /// Whether a transaction may write to several parts. If it may not, all rows
  /// share one.
  bool mSpread = true;

  /// Heartbeats of the nodes.
  [[nodiscard]] std::string OfNodes() const;
  /// The layout and the owners' renewals.
  [[nodiscard]] std::string OfShards() const;
  /// Progress of a shard, which its owner alone writes.
  [[nodiscard]] std::string OfProgress(std::uint32_t aShard) const;
  /// What any node writes about a job: its status and its inbox rows.
  [[nodiscard]] std::string OfJob(std::string_view aJob) const;
  /// @return how many parts jobs are spread over
  [[nodiscard]] std::uint32_t JobParts() const;
  /// @return the name of one of these
  [[nodiscard]] std::string JobPart(std::uint32_t aIndex) const;
};

} // namespace paddle
