#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibNode/Cluster.h>
#include <LibNode/StorePort.h>
#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// Times and limits by which nodes pass a large configuration on to each other,
/// so that it crosses the link between regions only for the readers.
struct RelaySettings
{
  /// From this size of the operator's rows on, in bytes, nodes read them from a
  /// peer. 18 nodes then read 1.8 MB at a change, which takes a quarter of a
  /// second over 60 Mbit/s.
  std::size_t mLargeBytes = 100'000;
  /// Nodes of each region that read from the store. With two, the followers of
  /// one that dies have another one whose copy is current.
  std::size_t mReaders = 2;
  /// At most so many nodes of a region, the readers included, read large rows
  /// from the store while the copies of the others are late. Each answer puts
  /// a window of some 256 KB into the link between the regions: 18 of them take
  /// 1.9 s over 20 Mbit/s, more than a read waits for its first byte, and
  /// four 0.4 s.
  std::size_t mMaxStoreReaders = 4;
  /// For each such time that a node's copy is old, twice as many nodes may read
  /// from the store: the first ones may be cut off from it, and not from their
  /// followers. It is not shorter than mMaxReceivingAge.
  Millis mStoreReaderStep{ 5000 };
  /// A node that gets no usable answer from so many peers in a row, each after
  /// mCallTimeout at the latest, takes itself for cut off from the others and
  /// reads from the store. Regions of 18 nodes have 4 s for a change.
  std::uint32_t mMaxUnusablePeers = 3;
  /// How long one read of a reader waits for a change. Its copy is confirmed by
  /// each answer, so that its age stays below twice this time.
  Millis mReaderWait{ 200 };
  /// Longest delay of a reader's next read after a change. The delay for nodes
  /// that all read from the store is longer than a follower waits.
  Millis mLongestReaderDelay{ 200 };
  /// A peer answers after this time at the latest, and else when there are
  /// changed rows or the store has confirmed its copy.
  Millis mHoldTime{ 500 };
  /// Longest wait for an answer without large rows.
  Millis mCallTimeout{ 800 };
  /// Rows of up to this many bytes are part of any answer. Larger ones are only
  /// announced, because their transfer has a time-out of its own.
  std::size_t mInlineBytes = 32'768;
  /// Time-out of a transfer of large rows: this time, and a millisecond for
  /// each mTransferBytesPerMs. The smallest hosts have links of 10 Mbit/s.
  Millis mTransferTimeout{ 500 };
  std::size_t mTransferBytesPerMs = 1'000;
  Millis mLongestTransfer{ 2'500 };
  /// After a transfer the node asks once more before it takes its copy for
  /// stale, because the confirmation is from before the transfer.
  Millis mAfterTransfer{ 250 };
  /// A peer is given up when it has not told of a confirmation by the store
  /// that is younger than this. The shortest bound for a change is 2.5 s.
  Millis mMaxAge{ 1200 };
  /// While a peer tells that a large answer of the store is arriving, it is not
  /// given up for this age. A follower that read the same answer itself would
  /// only make both slower: 18 nodes filled the link for 40 s.
  Millis mMaxReceivingAge{ 5000 };
  /// Longest pause between parts of an answer that is arriving.
  Millis mReceivingPause{ 300 };
  /// A node reads from the store itself this much after mMaxAge, so that the
  /// other reader can answer before, and up to mSpread later. The delay differs
  /// between nodes, because they all miss a lost reader at the same time.
  Millis mStoreDelay{ 200 };
  Millis mSpread{ 400 };
  /// A node with a stale copy leaves a peer for the next reader only this much
  /// after it has begun to ask it or has got large rows from it. The peer's own
  /// next read is sent and answered within 0.2 s each.
  Millis mMinTimeWithPeer{ 500 };
  /// A peer that was given up is not asked again for this long.
  Millis mAvoidTime{ 10'000 };
  /// A node whose row has not changed for this long is no reader. It is longer
  /// than ClaimSettings::mNodeTimeout: while the store takes no heartbeats, not
  /// every node should become a reader.
  Millis mRowTimeout{ 8000 };
};

/// Rows of the operator's table, as one node passes them on to another.
struct OperatorRows
{
  std::int64_t mVersion = 0; ///< Store version that the rows lead to.
  /// The rows that have changed after the version asked for.
  std::vector<StoreRow> mRows;
  /// The sender does not know all removals after the version asked for. mKeys
  /// then has the keys of all rows that exist.
  bool mListsKeys = false;
  std::vector<std::string> mKeys;
};

/// A node's answer to a peer.
struct RelayAnswer
{
  /// Time since the store has confirmed the copy, when the answer was written.
  /// Nothing: the store has not confirmed it yet.
  std::optional<Millis> mAge;
  Millis mHeld{ 0 }; ///< Time from the request to the answer.
  /// A large answer of the store is arriving at the peer: its copy will be
  /// confirmed when that is complete.
  bool mReceiving = false;
  /// Size of the rows that the answer announces but leaves out; 0: none.
  std::size_t mOmittedBytes = 0;
  OperatorRows mRows;
};

/// A node's request to a peer for the rows of the operator's table.
struct RelayRequest
{
  std::int64_t mAfter = 0; ///< Store version that the node has.
  bool mLargeRows = false; ///< Whether rows of any size are wanted.
  Millis mWait{ 0 };       ///< Longest wait for a change or a confirmation.
};

/// Calls to other nodes.
struct PeerPort
{
  /// Sends a request to the node with this address. The handler gets the body
  /// of the answer, or nothing if there was none in time.
  std::function<void(const std::string& aAddress,
                     const RelayRequest& aRequest,
                     Millis aTimeout,
                     std::function<void(std::optional<std::string>)> aDone)>
    mReadOperatorRows;
};

/// Why a node reads the operator's rows from where it does.
enum class SourceCause
{
  SmallCopy, ///< The copy is small, so each node reads from the store.
  Reader,    ///< This node is one of its region's readers.
  Follower,  ///< The region's readers pass the rows on.
  NoPeer,    ///< There is no other node to read from.
  /// The readers were given up lately, or copies are stale, but enough other
  /// nodes read from the store: one of them passes the rows on.
  NextReader,
  PeersFailed, ///< All readers were given up lately.
  Stale        ///< No reader has told of a young confirmation.
};

/// Where a node reads the operator's rows.
struct OperatorSource
{
  std::string mPeer; ///< Name of the node to ask; empty: none.
  std::string mAddress;
  bool mStore = true; ///< Whether to read from the store, too.
  SourceCause mCause = SourceCause::SmallCopy;
};

/// What a node knows of its copy of the operator's rows and of its peers.
struct RelayState
{
  std::size_t mCopyBytes = 0;
  /// Not later than the time at which the store confirmed the copy.
  std::optional<MonotonicTime> mConfirmedAt;
  std::string mPeer;        ///< The node that is asked at present.
  MonotonicTime mPeerSince; ///< Since when it is asked.
  /// As mConfirmedAt, by the answers of that node only.
  std::optional<MonotonicTime> mPeerConfirmedAt;
  /// A transfer of large rows from that node may take until then.
  std::optional<MonotonicTime> mTransferUntil;
  /// It has told that it receives a large answer of the store, and is due to
  /// tell more until then.
  std::optional<MonotonicTime> mReceivingUntil;
  std::map<std::string, MonotonicTime> mAvoidedUntil; ///< By node.
  /// The avoided nodes that gave no usable answer, by node.
  std::map<std::string, MonotonicTime> mUnusableUntil;
  std::uint32_t mUnusableInARow = 0; ///< Since the last usable answer.
};

/// Why a peer is given up.
enum class PeerFault
{
  Unusable, ///< It gave no answer, or a damaged one.
  Late      ///< Its copy is not confirmed, or too old.
};

/// @return the names of the nodes of this node's region that read from the
///         store for the others, the best first: those with more processor
///         time, and among equal ones those with the lower hash of the name
std::vector<std::string>
RankReaders(const ClusterView& aView,
            const NodeRow& aSelf,
            const RelaySettings& aSettings,
            MonotonicTime aNow);

/// @return whether the present peer should be given up, because it has not told
///         of a young confirmation since it is asked
bool
ShouldGiveUpPeer(const RelayState& aState,
                 const RelaySettings& aSettings,
                 MonotonicTime aNow);

/// Records that the present peer is given up: it is avoided for a while.
void
RecordPeerFault(RelayState& aState,
                const RelaySettings& aSettings,
                PeerFault aFault,
                MonotonicTime aNow);

/// Records that the present peer has given a usable answer.
void
RecordPeerAnswer(RelayState& aState);

/// Chooses where the node reads the operator's rows.
/// @param aView  the nodes as this node knows them; nodes may differ in that
///               for a second, so that a node more reads from the store
/// @param aState of this node
OperatorSource
ChooseSource(const ClusterView& aView,
             const NodeRow& aSelf,
             const RelayState& aState,
             const RelaySettings& aSettings,
             MonotonicTime aNow);

/// @return by how much a node delays its own read from the store when it has
///         given up all readers, from 0 to RelaySettings::mSpread
Millis
StoreReadDelay(const NodeRow& aSelf, const RelaySettings& aSettings);

/// @param aSentAt when the request was sent
/// @return a time that is not later than the one at which the store confirmed
///         the peer's copy, however long the answer was under way and if both
///         clocks are up to 3% apart; nothing without a confirmation
std::optional<MonotonicTime>
ConfirmationTime(const RelayAnswer& aAnswer, MonotonicTime aSentAt);

/// @return the time-out of a transfer of this many bytes
Millis
TransferTimeout(std::size_t aBytes, const RelaySettings& aSettings);

/// @return path and query of the request
std::string
FormatRelayRequest(const RelayRequest& aRequest);
/// @return the request, or nothing if path or query are not those of one
std::optional<RelayRequest>
ParseRelayRequest(std::string_view aTarget);

/// @return whether other nodes may read the rows from a node with this source,
///         so that it must not wait long between its own reads
bool
OthersRely(SourceCause aCause);

/// @return a word for the log
std::string_view
NameOf(SourceCause aCause);

/// The answer is a line of JSON, followed by the values of the rows: a JSON
/// text inside another one would have to be escaped.
std::string
FormatRelayAnswer(const RelayAnswer& aAnswer);
/// @return the answer, or an error if it is malformed or too large
Outcome<RelayAnswer>
ParseRelayAnswer(std::string_view aBody);

} // namespace paddle
