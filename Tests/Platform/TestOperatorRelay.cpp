#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "../LibNode/ClusterSimulation.h"

#include "../../platform/Directory.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// Shortest time within which a change must be in force.
constexpr Millis kBound{ 2500 };
constexpr Millis kStep{ 25 };
constexpr Millis kLatency{ 5 };
/// Beyond the wait for a change, after which a read without an answer fails.
constexpr Millis kReadMargin{ 1000 };
/// Size of a large configuration.
constexpr std::size_t kLarge = 300'000;
/// Time between the parts of an answer that takes longer.
constexpr Millis kProgressStep{ 50 };
/// Bytes that a node's link carries in a millisecond.
constexpr std::int64_t kLinkBytesPerMs = 1250;
/// Within this time a change must be in force in regions of 18 nodes.
constexpr Millis kLargeRegionBound{ 4000 };
/// Size of a configuration of 4,245 routes.
constexpr std::size_t kVeryLarge = 1'270'000;
/// Bytes that a connection carries before the receiver must have acknowledged
/// them.
constexpr std::size_t kWindowBytes = 256'000;
/// Time-outs of the store's client: until the first byte of a read and of a
/// wait for a change, here beyond that wait, and between bytes.
constexpr Millis kReadTimeout{ 1200 };
constexpr Millis kChangeWaitMargin{ 700 };
constexpr Millis kStall{ 1000 };

/// A link between the regions, which carries one byte after the other.
struct SharedLink
{
  std::int64_t mBytesPerMs = 0; ///< 0: the link is not simulated.
  MonotonicTime mFreeAt;        ///< When all that was sent so far has arrived.
};

/// An answer of the store that crosses the shared link.
struct LinkTransfer
{
  ReadOutcome mRead;
  std::size_t mBytes = 0;
  std::size_t mArrived = 0;
  MonotonicTime mExpiresAt; ///< Unless further bytes arrive before.
};

} // namespace

/// Two regions of six nodes that use the platform's directory over a fake store
/// and call each other.
TEST_GROUP(OperatorRelaySimulation)
{
  ClusterSimulation mCluster;
  std::map<std::string, std::unique_ptr<EventLog>> mLogs;
  std::map<std::string, std::size_t> mReadBytes; ///< From the store, by node.
  std::vector<std::string> mNames;
  std::map<std::int64_t, MonotonicTime> mAcknowledgedAt; ///< By version.
  std::int64_t mVersion = 0;
  std::map<std::string, int> mWaits; ///< For changes of the operator's table.
  bool mPeersCorrupt = false; ///< Answers of peers are damaged on the way.
  std::int64_t mPeerCalls = 0;
  Millis mTransferTime{ 0 }; ///< Of large rows from the store to a node.
  SharedLink mLink;          ///< From the store to the nodes in the north.
  /// These nodes and all others don't reach each other.
  std::vector<std::string> mCutOff;

  void setup() override
  {
    Put(1000);
    for (const char* region : { "north", "south" }) {
      for (int i = 0; i < 6; ++i) {
        mNames.push_back(region + std::to_string(i));
        Start(mNames.back());
      }
    }
    Advance(Seconds(4));
  }

  static std::string RegionOf(const std::string& aName)
  {
    return aName.substr(0, 5);
  }

  void Start(const std::string& aName)
  {
    mCluster.StartNode(aName);
    NodeContext& context = mCluster.mNodes.at(aName).mContext;
    context.mSelf.mRegion = RegionOf(aName);
    context.mSelf.mMilliCores = aName.back() < '2' ? 500 : 120;
    context.mSelf.mPeerAddress = aName;
    auto& log = mLogs[aName];
    log = std::make_unique<EventLog>("test",
                                     EventLogLimits{ 1000, 1000, 1UL << 20 });
    context.mLog = log.get();
    context.mDirectory =
      platform::MakeDirectoryPort(TimedStore(aName), [](const std::string&) {});
    context.mDirectory.mReadRunners =
      [](const std::function<void(
           std::optional<std::vector<dispatch::RunnerSpec>>)>& aDone) {
        aDone(std::vector<dispatch::RunnerSpec>{});
      };
    context.mPeers = Peers(aName);
  }

  /// Calls a handler of a node's process, if that is still there.
  void Deliver(const std::string& aName,
               std::uint64_t aProcess,
               std::function<void()> aHandler)
  {
    ClusterSimulation::SimulatedNode& node = mCluster.mNodes.at(aName);
    if (!node.mNode || node.mProcess != aProcess) {
      return;
    }
    if (node.mFrozen) {
      node.mPendingAnswers.push_back(std::move(aHandler));
    } else {
      aHandler();
    }
  }

  /// @return the node's store port; waits for changes end in time, and what the
  ///         node reads is counted
  StorePort TimedStore(const std::string& aName)
  {
    const StorePort base = mCluster.mNodes.at(aName).mContext.mStore;
    const std::uint64_t process = mCluster.mNodes.at(aName).mProcess;
    StorePort port = base;
    const auto counted = [this, aName, process](const ReadHandler& aDone,
                                                Millis aTimeout) {
      const MonotonicTime expiresAt = mCluster.mNow + aTimeout;
      return [this, aName, process, aDone, expiresAt](
               const ReadOutcome& aRead) {
        std::size_t bytes = 0;
        for (const StoreRow& row : aRead.mRows) {
          bytes += row.mValue.size();
        }
        mReadBytes[aName] += bytes;
        if (mLink.mBytesPerMs > 0 && bytes >= kLarge &&
            RegionOf(aName) == "north") {
          SendWindow(aName,
                     process,
                     std::make_shared<LinkTransfer>(
                       LinkTransfer{ aRead, bytes, 0, expiresAt }),
                     aDone);
          return;
        }
        if (bytes < kLarge || mTransferTime == Millis(0)) {
          aDone(aRead);
          return;
        }
        for (Millis after(0); after < mTransferTime; after += kProgressStep) {
          mCluster.mDeadlines.Add(
            mCluster.mNow + after, [this, aName, process] {
              Deliver(aName, process, [this, aName] {
                mCluster.mNodes.at(aName).mContext.mOperatorProgressAt =
                  mCluster.mNow;
              });
            });
        }
        mCluster.mDeadlines.Add(
          mCluster.mNow + mTransferTime, [this, aName, process, aDone, aRead] {
            Deliver(aName, process, [aDone, aRead] { aDone(aRead); });
          });
      };
    };
    port.mRead = [base, counted](const std::string& aTable,
                                 const std::string& aPartition,
                                 const std::string& aFrom,
                                 const std::string& aTo,
                                 const ReadHandler& aDone) {
      base.mRead(aTable, aPartition, aFrom, aTo, counted(aDone, kReadTimeout));
    };
    port.mWaitForChanges =
      [this, base, counted, aName, process](const std::string& aTable,
                                            std::int64_t aAfter,
                                            Millis aWait,
                                            const ReadHandler& aDone) {
        mWaits[aName] += aTable == "op" ? 1 : 0;
        auto answered = std::make_shared<bool>(false);
        const auto once = [answered,
                           done = counted(aDone, aWait + kChangeWaitMargin)](
                            const ReadOutcome& aRead) {
          if (!std::exchange(*answered, true)) {
            done(aRead);
          }
        };
        base.mWaitForChanges(aTable, aAfter, aWait, once);
        mCluster.mDeadlines.Add(
          mCluster.mNow + aWait, [this, once, aName, process, aAfter] {
            if (mCluster.mNodes.at(aName).mCutFromStore) {
              mCluster.mDeadlines.Add(
                mCluster.mNow + kReadMargin, [this, once, aName, process] {
                  Deliver(aName, process, [once] { once({}); });
                });
              return;
            }
            ReadOutcome nothing;
            nothing.mResult = ReadResult::Read;
            nothing.mVersion = aAfter;
            Deliver(aName, process, [once, nothing] { once(nothing); });
          });
      };
    return port;
  }

  /// Sends the next part of an answer over the shared link. The read fails if
  /// the first byte of the part is late; the part then arrives all the same.
  void SendWindow(const std::string& aName,
                  std::uint64_t aProcess,
                  const std::shared_ptr<LinkTransfer>& aTransfer,
                  const ReadHandler& aDone)
  {
    const std::size_t bytes =
      std::min(kWindowBytes, aTransfer->mBytes - aTransfer->mArrived);
    const MonotonicTime begin = std::max(mCluster.mNow, mLink.mFreeAt);
    mLink.mFreeAt =
      begin + Millis(static_cast<std::int64_t>(bytes) / mLink.mBytesPerMs);
    if (begin > aTransfer->mExpiresAt) {
      mCluster.mDeadlines.Add(
        aTransfer->mExpiresAt, [this, aName, aProcess, aTransfer, aDone] {
          ReadOutcome failed;
          failed.mReceivedBytes = aTransfer->mArrived;
          Deliver(aName, aProcess, [aDone, failed] { aDone(failed); });
        });
      return;
    }
    for (MonotonicTime at = begin; at < mLink.mFreeAt; at += kProgressStep) {
      mCluster.mDeadlines.Add(at, [this, aName, aProcess] {
        Deliver(aName, aProcess, [this, aName] {
          mCluster.mNodes.at(aName).mContext.mOperatorProgressAt =
            mCluster.mNow;
        });
      });
    }
    mCluster.mDeadlines.Add(mLink.mFreeAt,
                            [this, aName, aProcess, aTransfer, aDone, bytes] {
                              aTransfer->mArrived += bytes;
                              aTransfer->mExpiresAt = mCluster.mNow + kStall;
                              if (aTransfer->mArrived < aTransfer->mBytes) {
                                SendWindow(aName, aProcess, aTransfer, aDone);
                                return;
                              }
                              Deliver(aName, aProcess, [aDone, aTransfer] {
                                aDone(aTransfer->mRead);
                              });
                            });
  }

  [[nodiscard]] bool IsCutOff(const std::string& aName) const
  {
    return std::find(mCutOff.begin(), mCutOff.end(), aName) != mCutOff.end();
  }

  PeerPort Peers(const std::string& aName)
  {
    PeerPort port;
    const std::uint64_t process = mCluster.mNodes.at(aName).mProcess;
    port.mReadOperatorRows =
      [this, aName, process](
        const std::string& aAddress,
        const RelayRequest& aRequest,
        Millis aTimeout,
        const std::function<void(std::optional<std::string>)>& aDone) {
        ++mPeerCalls;
        CHECK_TRUE(RegionOf(aName) == RegionOf(aAddress));
        auto answered = std::make_shared<bool>(false);
        const auto answer = [this, aName, process, aDone, answered](
                              const std::optional<std::string>& aBody) {
          Deliver(aName, process, [aDone, answered, aBody] {
            if (!std::exchange(*answered, true)) {
              aDone(aBody);
            }
          });
        };
        mCluster.mDeadlines.Add(mCluster.mNow + aTimeout,
                                [answer] { answer({}); });
        if (IsCutOff(aName) != IsCutOff(aAddress)) {
          return;
        }
        const std::uint64_t peer = mCluster.mNodes.at(aAddress).mProcess;
        mCluster.mDeadlines.Add(
          mCluster.mNow + kLatency, [this, aAddress, peer, aRequest, answer] {
            Deliver(aAddress, peer, [this, aAddress, aRequest, answer] {
              mCluster.mNodes.at(aAddress).mNode->ServeOperatorRows(
                aRequest, [this, answer](std::string aBody) {
                  if (mPeersCorrupt) {
                    aBody += "x";
                  }
                  const Millis transfer(
                    static_cast<std::int64_t>(aBody.size()) / kLinkBytesPerMs);
                  mCluster.mDeadlines.Add(mCluster.mNow + kLatency + transfer,
                                          [answer, aBody] { answer(aBody); });
                });
            });
          });
      };
    return port;
  }

  /// Writes rows as the operator does; they are acknowledged at once. The
  /// bounds on the size of rows are those of nodes.
  void Write(StoreTransaction aTransaction)
  {
    const StoreLimits limits = std::exchange(
      mCluster.mStore.mLimits, { SIZE_MAX, SIZE_MAX, SIZE_MAX, SIZE_MAX });
    bool stored = false;
    mCluster.mStore.Port().mTransact(
      std::move(aTransaction),
      Millis(1000),
      [&stored](const TransactionOutcome& aOutcome) {
        stored = aOutcome.mResult == StoreResult::Stored;
      });
    mCluster.mStore.Run();
    mCluster.mStore.mLimits = limits;
    CHECK_TRUE(stored);
  }

  /// Publishes the next version of the configuration.
  void Put(std::size_t aBytes)
  {
    ++mVersion;
    StoreTransaction transaction;
    transaction.mPuts.push_back({ "op",
                                  "",
                                  "config",
                                  "{\"version\":" + std::to_string(mVersion) +
                                    ",\"routes\":[],\"services\":\"" +
                                    std::string(aBytes, 's') + "\"}",
                                  0,
                                  false });
    Write(std::move(transaction));
    mAcknowledgedAt[mVersion] = mCluster.mNow;
  }

  /// Begins or ends the evacuation of a data centre.
  void Evacuate(bool aBegin)
  {
    StoreTransaction transaction;
    if (aBegin) {
      transaction.mPuts.push_back({ "op", "", "evacuate/z", "{}", 0, false });
    } else {
      transaction.mRemovals.push_back({ "op", "", "evacuate/z" });
    }
    Write(std::move(transaction));
  }

  const Node* NodeOf(const std::string& aName)
  {
    return mCluster.mNodes.at(aName).mNode.get();
  }

  /// Advances the clock. Checks all the time that no node takes its copy for
  /// confirmed at a time at which a newer version was acknowledged, and that no
  /// node goes back to an older version.
  void Advance(Millis aTime)
  {
    std::map<std::string, std::int64_t> versions;
    for (Millis passed(0); passed < aTime; passed += kStep) {
      mCluster.AdvanceTime(kStep);
      for (const std::string& name : mNames) {
        const Node* node = NodeOf(name);
        if (node == nullptr || mCluster.mNodes.at(name).mFrozen) {
          continue;
        }
        const ConfigurationCopy copy = node->ConfigurationInForce();
        CHECK_TRUE(copy.mVersion >= versions[name]);
        versions[name] = copy.mVersion;
        const auto newer = mAcknowledgedAt.upper_bound(copy.mVersion);
        if (copy.mAge && newer != mAcknowledgedAt.end()) {
          CHECK_TRUE(mCluster.mNow - *copy.mAge <= newer->second);
        }
      }
    }
  }

  /// Adds nodes to the north, which then has 18.
  void EnlargeNorth()
  {
    for (const char suffix : std::string_view("6789ABCDEFGH")) {
      mNames.push_back(std::string("north") + suffix);
      Start(mNames.back());
    }
    Advance(Seconds(4));
  }

  /// @return how many nodes of the north have read large rows from the store
  std::size_t NorthernStoreReaders() const
  {
    const std::vector<std::string> names = StoreReaders();
    return static_cast<std::size_t>(
      std::count_if(names.begin(), names.end(), [](const std::string& aName) {
        return RegionOf(aName) == "north";
      }));
  }

  /// Publishes large configurations until all nodes know that they are large
  /// and have a source.
  void BecomeLarge()
  {
    Put(kLarge);
    Advance(Seconds(5));
    mReadBytes.clear();
  }

  /// @return the names of the nodes that have read large rows from the store
  std::vector<std::string> StoreReaders() const
  {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : mReadBytes) {
      if (bytes >= kLarge) {
        names.push_back(name);
      }
    }
    return names;
  }

  /// @return the names of the nodes that have not the newest version, each
  ///         followed by a space
  std::string Behind(const std::vector<std::string>& aExcept = {})
  {
    std::string text;
    for (const std::string& name : mNames) {
      const bool excepted =
        std::find(aExcept.begin(), aExcept.end(), name) != aExcept.end();
      if (!excepted &&
          NodeOf(name)->ConfigurationInForce().mVersion != mVersion) {
        text += name + " ";
      }
    }
    return text;
  }

  /// @return how many nodes have logged this text
  std::size_t Logged(const std::string& aText)
  {
    std::size_t count = 0;
    for (const auto& [name, log] : mLogs) {
      count += log->Pending().find(aText) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  /// Publishes a configuration while some nodes have a fault, and checks that
  /// it is in force in time at all others.
  void CheckChangeInTime(const std::vector<std::string>& aFaulty)
  {
    Put(kLarge);
    Advance(kBound);
    STRCMP_EQUAL("", Behind(aFaulty).c_str());
  }

  const std::vector<std::string> mReaders{
    "north0", "north1", "south0", "south1"
  };
};

// Guards against large configurations that each node reads across the link
// between the regions. With 18 nodes in the region without the store, the link
// was full for 40 s. A small configuration is read by every node.
TEST(OperatorRelaySimulation, OnlyTwoNodesOfARegionReadALargeConfiguration)
{
  LONGS_EQUAL(0, mPeerCalls);
  LONGS_EQUAL(mNames.size(), mReadBytes.size());
  BecomeLarge();
  mWaits.clear();
  for (int i = 0; i < 3; ++i) {
    mReadBytes.clear();
    Put(2 * kLarge);
    Advance(kBound);
    STRCMP_EQUAL("", Behind().c_str());
    CHECK_TRUE(StoreReaders() == mReaders);
    LONGS_EQUAL(8, Logged("source=peer version=" + std::to_string(mVersion)));
    Advance(Seconds(3));
  }
  LONGS_EQUAL(0, Logged("event=peer_given_up"));
  // The others have not asked the store at all.
  for (const std::string& name : mNames) {
    const bool reads =
      std::find(mReaders.begin(), mReaders.end(), name) != mReaders.end();
    CHECK_EQUAL(reads, mWaits[name] > 0);
  }
  // Once it is small again, every node reads it from the store.
  Put(1000);
  Advance(Seconds(4));
  const std::int64_t calls = mPeerCalls;
  Advance(Seconds(4));
  LONGS_EQUAL(calls, mPeerCalls);
}

// Guards against changes that are late while a reader does not answer, in each
// phase of the calls between it and its followers.
TEST(OperatorRelaySimulation, AChangeIsInTimeWhenAReaderIsLost)
{
  for (int phase = 0; phase < 500; phase += 75) {
    for (const char* fault : { "kill", "freeze", "cut" }) {
      BecomeLarge();
      Advance(Millis(phase));
      const std::string reader = "north0";
      if (fault == std::string("kill")) {
        mCluster.KillNode(reader);
      } else if (fault == std::string("freeze")) {
        mCluster.FreezeNode(reader);
      } else {
        mCluster.CutFromStore(reader, true);
      }
      CheckChangeInTime({ reader });
      CHECK_TRUE(StoreReaders().size() <= mReaders.size());
      mCluster.CutFromStore(reader, false);
      mCluster.WakeNode(reader, ClusterSimulation::OnWaking::TickFirst);
      Start(reader);
      Advance(Seconds(12));
    }
  }
}

// Guards against changes that are late while both readers of a region don't
// answer.
TEST(OperatorRelaySimulation, AChangeIsInTimeWhenBothReadersAreLost)
{
  for (int phase = 0; phase < 500; phase += 75) {
    for (const char* fault : { "kill", "freeze", "cut" }) {
      BecomeLarge();
      Advance(Millis(phase));
      for (const char* reader : { "north0", "north1" }) {
        if (fault == std::string("kill")) {
          mCluster.KillNode(reader);
        } else if (fault == std::string("freeze")) {
          mCluster.FreezeNode(reader);
        } else {
          mCluster.CutFromStore(reader, true);
        }
      }
      CheckChangeInTime({ "north0", "north1" });
      for (const char* reader : { "north0", "north1" }) {
        mCluster.CutFromStore(reader, false);
        mCluster.WakeNode(reader, ClusterSimulation::OnWaking::TickFirst);
        Start(reader);
      }
      Advance(Seconds(12));
    }
  }
}

// Guards against evacuations that wait for a lost reader, and against ones that
// are not passed on: their rows are in the same table.
TEST(OperatorRelaySimulation, AnEvacuationIsInTimeWhenAReaderIsLost)
{
  BecomeLarge();
  Evacuate(true);
  Advance(Millis(500));
  LONGS_EQUAL(12, Logged("event=evacuated_data_centres names=z\n"));
  mCluster.FreezeNode("north0");
  mCluster.FreezeNode("north1");
  Evacuate(false);
  Advance(kBound);
  LONGS_EQUAL(10, Logged("event=evacuated_data_centres names=\n"));
  // Nobody has read the large row again.
  LONGS_EQUAL(0, StoreReaders().size());
}

// Guards against a reader that wakes and hands out its old copy as fresh: the
// checks in Advance() compare each confirmation with the acknowledgements.
TEST(OperatorRelaySimulation, AWokenReaderConfirmsNothingOld)
{
  for (const auto order : { ClusterSimulation::OnWaking::TickFirst,
                            ClusterSimulation::OnWaking::AnswersFirst }) {
    for (const int frozen : { 300, 600, 1000, 3000 }) {
      BecomeLarge();
      mCluster.FreezeNode("north0");
      mCluster.FreezeNode("north1");
      Put(kLarge);
      Advance(Millis(frozen));
      mCluster.WakeNode("north0", order);
      mCluster.WakeNode("north1", order);
      Advance(kBound);
      STRCMP_EQUAL("", Behind().c_str());
      Advance(Seconds(12));
    }
  }
}

// Guards against a node that wakes and takes the answer of a peer, which was
// sent before a change, for a confirmation as of now. It may have been frozen
// before or after its peer had answered.
TEST(OperatorRelaySimulation, AWokenFollowerTakesNoOldConfirmation)
{
  for (const auto order : { ClusterSimulation::OnWaking::TickFirst,
                            ClusterSimulation::OnWaking::AnswersFirst }) {
    for (int phase = 0; phase < 600; phase += 75) {
      BecomeLarge();
      Advance(Millis(phase));
      mCluster.FreezeNode("north2");
      mCluster.FreezeNode("south3");
      Advance(Millis(600));
      Put(kLarge);
      Advance(Millis(400));
      mCluster.WakeNode("north2", order);
      mCluster.WakeNode("south3", order);
      Advance(kBound);
      STRCMP_EQUAL("", Behind().c_str());
      Advance(Seconds(12));
    }
  }
}

// Guards against a damaged answer that is applied or that delays a change, and
// against one without a line in the log.
TEST(OperatorRelaySimulation, DamagedAnswersAreRefused)
{
  BecomeLarge();
  mPeersCorrupt = true;
  Put(kLarge);
  Advance(kBound);
  STRCMP_EQUAL("", Behind().c_str());
  LONGS_EQUAL(8, Logged("event=peer_answer_refused"));
  mPeersCorrupt = false;
  Advance(Seconds(12));
  mReadBytes.clear();
  Put(kLarge);
  Advance(kBound);
  CHECK_TRUE(StoreReaders() == mReaders);
}

// Guards against followers of nodes that run an earlier version of this
// program, and of a restarted reader that has read nothing yet.
TEST(OperatorRelaySimulation, NodesWithoutAPeerReadFromTheStore)
{
  BecomeLarge();
  Start("north0");
  Put(kLarge);
  Advance(kBound);
  STRCMP_EQUAL("", Behind().c_str());
  for (const std::string& name : mNames) {
    mCluster.mNodes.at(name).mContext.mSelf.mPeerAddress.clear();
  }
  Advance(Seconds(4));
  const std::int64_t calls = mPeerCalls;
  mReadBytes.clear();
  Put(kLarge);
  Advance(kBound);
  STRCMP_EQUAL("", Behind().c_str());
  LONGS_EQUAL(calls, mPeerCalls);
  LONGS_EQUAL(12, StoreReaders().size());
}

// Guards against followers that read a large configuration from the store as
// well, because it takes long to cross the link to their readers: the link gets
// fuller, and all take longer.
TEST(OperatorRelaySimulation, FollowersWaitWhileTheReadersReceive)
{
  BecomeLarge();
  for (const int time : { 500, 1000, 2000, 3500 }) {
    mTransferTime = Millis(time);
    mReadBytes.clear();
    Put(kLarge);
    Advance(mTransferTime + Seconds(1));
    STRCMP_EQUAL("", Behind().c_str());
    CHECK_TRUE(StoreReaders() == mReaders);
    Advance(Seconds(3));
  }
  LONGS_EQUAL(0, Logged("event=peer_given_up"));
}

// Guards against followers that wait for readers which are lost while they
// receive a change.
TEST(OperatorRelaySimulation, AChangeIsInTimeWhenReceivingReadersAreLost)
{
  for (int phase = 25; phase < 400; phase += 50) {
    for (const char* fault : { "kill", "freeze" }) {
      mTransferTime = Millis(0);
      BecomeLarge();
      mTransferTime = Millis(400);
      Put(kLarge);
      Advance(Millis(phase));
      for (const char* reader : { "north0", "north1" }) {
        if (fault == std::string("kill")) {
          mCluster.KillNode(reader);
        } else {
          mCluster.FreezeNode(reader);
        }
      }
      Advance(kBound - Millis(phase));
      STRCMP_EQUAL("", Behind({ "north0", "north1" }).c_str());
      for (const char* reader : { "north0", "north1" }) {
        mCluster.WakeNode(reader, ClusterSimulation::OnWaking::AnswersFirst);
        Advance(Millis(500));
        Start(reader);
      }
      Advance(Seconds(12));
    }
  }
}

// Guards against all followers of a large region that read from the store when
// the copies of both readers are late: 18 reads at the same time filled the
// link between the regions, and none of them arrived. The rows that the lost
// readers have read themselves don't count.
TEST(OperatorRelaySimulation, FewNodesOfALargeRegionReplaceLostReaders)
{
  EnlargeNorth();
  for (const char* fault : { "kill", "freeze", "cut" }) {
    for (int phase = 0; phase < 500; phase += 150) {
      BecomeLarge();
      Advance(Millis(phase));
      for (const char* reader : { "north0", "north1" }) {
        if (fault == std::string("kill")) {
          mCluster.KillNode(reader);
        } else if (fault == std::string("freeze")) {
          mCluster.FreezeNode(reader);
        } else {
          mCluster.CutFromStore(reader, true);
        }
      }
      Put(kLarge);
      Advance(kLargeRegionBound);
      STRCMP_EQUAL("", Behind({ "north0", "north1" }).c_str());
      CHECK_TRUE(NorthernStoreReaders() <= 4);
      for (const char* reader : { "north0", "north1" }) {
        mCluster.CutFromStore(reader, false);
        mCluster.WakeNode(reader, ClusterSimulation::OnWaking::TickFirst);
        Start(reader);
      }
      Advance(Seconds(12));
    }
  }
}

// Guards against a load that repeats itself: after the link between the regions
// was full for 1.5 s, 18 nodes read the configuration from the store, each read
// was given up before its first byte, and its repetition kept the link full.
TEST(OperatorRelaySimulation, ReadsRecoverAfterTheLinkWasFull)
{
  EnlargeNorth();
  Put(kVeryLarge);
  Advance(Seconds(5));
  mReadBytes.clear();
  mLink.mBytesPerMs = 2500; // 20 Mbit/s
  mLink.mFreeAt = mCluster.mNow + Millis(1500);
  Put(kVeryLarge);
  Advance(Seconds(8));
  STRCMP_EQUAL("", Behind().c_str());
  CHECK_TRUE(NorthernStoreReaders() <= 4);
  // The link is free again.
  CHECK_TRUE(mLink.mFreeAt <= mCluster.mNow);
}

// Guards against a change that is late because the nodes between a lost reader
// and the store change their sources: it comes at any time after the loss.
TEST(OperatorRelaySimulation, AChangeIsInTimeAtAnyTimeAfterAReaderIsLost)
{
  EnlargeNorth();
  for (const char* fault : { "freeze", "cut" }) {
    for (int after = 0; after <= 4500; after += 500) {
      BecomeLarge();
      for (const char* reader : { "north0", "north1" }) {
        if (fault == std::string("freeze")) {
          mCluster.FreezeNode(reader);
        } else {
          mCluster.CutFromStore(reader, true);
        }
      }
      Advance(Millis(after));
      Put(kLarge);
      Advance(kLargeRegionBound);
      STRCMP_EQUAL("", Behind({ "north0", "north1" }).c_str());
      CHECK_TRUE(NorthernStoreReaders() <= 4);
      for (const char* reader : { "north0", "north1" }) {
        mCluster.CutFromStore(reader, false);
        mCluster.WakeNode(reader, ClusterSimulation::OnWaking::TickFirst);
      }
      Advance(Seconds(12));
    }
  }
}

// Guards against nodes that wait for others which they don't reach, although
// they reach the store.
TEST(OperatorRelaySimulation, NodesThatReachOnlyTheStoreGetAChangeInTime)
{
  EnlargeNorth();
  for (int after = 0; after <= 3000; after += 500) {
    BecomeLarge();
    mCutOff = { "northC", "northD", "northE", "northF", "northG", "northH" };
    Advance(Millis(after));
    Put(kLarge);
    Advance(kLargeRegionBound);
    STRCMP_EQUAL("", Behind().c_str());
    mCutOff.clear();
    Advance(Seconds(12));
  }
}

// Guards against a region that never gets a change because all nodes that may
// read it from the store are cut off from it, and not from the others.
TEST(OperatorRelaySimulation, ARegionMovesOnFromReadersThatAreCutOff)
{
  EnlargeNorth();
  BecomeLarge();
  std::vector<std::string> cut;
  while (cut.size() < 6) {
    for (const std::string& name : mNames) {
      const bool reads = mWaits[name] > 0 && RegionOf(name) == "north" &&
                         std::find(cut.begin(), cut.end(), name) == cut.end();
      if (reads && cut.size() < 6) {
        mCluster.CutFromStore(name, true);
        cut.push_back(name);
      }
    }
    mWaits.clear();
    Advance(Seconds(3));
  }
  Put(kLarge);
  Advance(Seconds(15));
  STRCMP_EQUAL("", Behind(cut).c_str());
}

// Guards against all nodes of a large region that read from the store together
// once the first ones of its order, which may be in one data centre, are lost.
TEST(OperatorRelaySimulation, FewNodesReadFromTheStoreWhenADataCentreIsLost)
{
  EnlargeNorth();
  ClusterView view;
  NodeRow self;
  for (const std::string& name : mNames) {
    if (RegionOf(name) == "north") {
      self = mCluster.mNodes.at(name).mContext.mSelf;
      view.mNodes[name] = { self, 1, mCluster.mNow, mCluster.mNow };
    }
  }
  for (std::size_t lost = 2; lost <= 6; ++lost) {
    RelaySettings settings;
    settings.mReaders = lost;
    settings.mRowTimeout = Seconds(1000);
    const std::vector<std::string> first =
      RankReaders(view, self, settings, mCluster.mNow);
    BecomeLarge();
    for (const std::string& name : first) {
      mCluster.KillNode(name);
    }
    Put(kLarge);
    Advance(kLargeRegionBound);
    STRCMP_EQUAL("", Behind(first).c_str());
    CHECK_TRUE(NorthernStoreReaders() <= 4);
    for (const std::string& name : first) {
      Start(name);
    }
    Advance(Seconds(14));
  }
}

// Guards against all nodes of a large region that become readers in an outage
// of the store, since none sees a heartbeat of another, and read from it
// together at its end.
TEST(OperatorRelaySimulation, FewNodesReadFromTheStoreAfterItsOutage)
{
  EnlargeNorth();
  for (const int outage : { 4500, 9000 }) {
    BecomeLarge();
    for (const std::string& name : mNames) {
      mCluster.CutFromStore(name, true);
    }
    Advance(Millis(outage));
    Put(kVeryLarge);
    for (const std::string& name : mNames) {
      mCluster.CutFromStore(name, false);
    }
    mLink.mBytesPerMs = 2500; // 20 Mbit/s
    mLink.mFreeAt = mCluster.mNow;
    Advance(Seconds(8));
    STRCMP_EQUAL("", Behind().c_str());
    CHECK_TRUE(NorthernStoreReaders() <= 4);
    mLink = { 1'000'000, mCluster.mNow };
    Advance(Seconds(14));
  }
}
