#include <string>
#include <vector>

#include <LibNode/OperatorRelay.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(OperatorRelay)
{
  MonotonicTime mNow{ Seconds(1000) };
  RelaySettings mSettings;
  ClusterView mView;
  NodeRow mSelf = Row("self", "north", 100);
  RelayState mState;

  void setup() override
  {
    mState.mCopyBytes = mSettings.mLargeBytes;
    mState.mConfirmedAt = mNow;
    Add(Row("large-1", "north", 500));
    Add(Row("large-2", "north", 400));
    Add(Row("elsewhere", "south", 900));
    Add(mSelf);
  }

  static NodeRow Row(
    const std::string& aName, const std::string& aRegion, std::int64_t aCores)
  {
    NodeRow row;
    row.mName = aName;
    row.mRegion = aRegion;
    row.mMilliCores = aCores;
    row.mPeerAddress = "address of " + aName;
    return row;
  }

  /// Adds the row, as it was first seen now.
  void Add(const NodeRow& aRow)
  {
    mView.mNodes[aRow.mName] = { aRow, 1, mNow, mNow };
  }

  [[nodiscard]] OperatorSource Choose() const
  {
    return ChooseSource(mView, mSelf, mState, mSettings, mNow);
  }

  /// @return the readers' names, each followed by a space
  [[nodiscard]] std::string Readers(const NodeRow& aSelf) const
  {
    std::string text;
    for (const std::string& name : RankReaders(mView, aSelf, mSettings, mNow)) {
      text += name + " ";
    }
    return text;
  }
};

// Guards against nodes that rank differently: each would rely on another one to
// read from the store. Regions have readers of their own.
TEST(OperatorRelay, NodesOfARegionAgreeOnItsReaders)
{
  for (const char* name : { "self", "large-1", "large-2" }) {
    STRCMP_EQUAL("large-1 large-2 ",
                 Readers(mView.mNodes.at(name).mRow).c_str());
  }
  STRCMP_EQUAL("elsewhere ",
               Readers(mView.mNodes.at("elsewhere").mRow).c_str());
}

// Guards against the same reader for equal nodes by the order of their names,
// which is the order of their data centres, and against no order at all.
TEST(OperatorRelay, RanksEqualNodesByAHash)
{
  mView.mNodes.clear();
  for (const char* name : { "a", "b", "c", "d", "e", "f" }) {
    Add(Row(name, "north", 100));
  }
  const std::string first = Readers(mView.mNodes.at("a").mRow);
  for (const auto& [name, node] : mView.mNodes) {
    STRCMP_EQUAL(first.c_str(), Readers(node.mRow).c_str());
  }
  CHECK_TRUE(first != "a b ");
}

// Guards against waiting for nodes that can't answer: one whose row is old, and
// one of an earlier version of this program, which states no address.
TEST(OperatorRelay, OnlyReachableNodesAreReaders)
{
  mView.mNodes.at("large-1").mVersionSeenAt =
    mNow - mSettings.mRowTimeout - Millis(1);
  mView.mNodes.at("large-2").mRow.mPeerAddress.clear();
  STRCMP_EQUAL("self ", Readers(mSelf).c_str());
  mSelf.mPeerAddress.clear();
  STRCMP_EQUAL("", Readers(mSelf).c_str());
  const OperatorSource source = Choose();
  CHECK_TRUE(source.mStore && source.mPeer.empty());
  CHECK_TRUE(source.mCause == SourceCause::NoPeer);
}

// Guards against any change for a small configuration.
TEST(OperatorRelay, ASmallCopyIsReadFromTheStore)
{
  mState.mCopyBytes = mSettings.mLargeBytes - 1;
  const OperatorSource source = Choose();
  CHECK_TRUE(source.mStore && source.mPeer.empty());
  CHECK_TRUE(source.mCause == SourceCause::SmallCopy);
}

// Guards against followers that read from the store beside the reader, and
// against readers that don't.
TEST(OperatorRelay, OnlyReadersReadALargeCopyFromTheStore)
{
  const OperatorSource follower = Choose();
  CHECK_FALSE(follower.mStore);
  CHECK_TRUE(follower.mPeer == "large-1" || follower.mPeer == "large-2");
  STRCMP_EQUAL(("address of " + follower.mPeer).c_str(),
               follower.mAddress.c_str());
  mSelf = mView.mNodes.at("large-2").mRow;
  CHECK_TRUE(Choose().mStore && Choose().mPeer.empty());
  CHECK_TRUE(Choose().mCause == SourceCause::Reader);
}

// Guards against all followers on one reader, whose link would be shared by
// all of them.
TEST(OperatorRelay, ReadersShareTheFollowers)
{
  int first = 0;
  for (int i = 0; i < 100; ++i) {
    mSelf.mName = "node-" + std::to_string(i);
    first += Choose().mPeer == "large-1" ? 1 : 0;
  }
  CHECK_TRUE(first > 30 && first < 70);
}

// Guards against a follower of a lost reader that reads from the store although
// the other reader is alive, and one that asks the lost reader again.
TEST(OperatorRelay, TheOtherReaderIsAskedFirst)
{
  const std::string first = Choose().mPeer;
  mState.mPeer = first;
  mState.mAvoidedUntil[first] = mNow + Millis(1);
  const std::string second = Choose().mPeer;
  CHECK_TRUE(!second.empty() && second != first);
  CHECK_FALSE(Choose().mStore);
  mState.mAvoidedUntil[second] = mNow + Millis(1);
  CHECK_TRUE(Choose().mPeer.empty() && Choose().mStore);
  CHECK_TRUE(Choose().mCause == SourceCause::PeersFailed);
  // Without a reason to change, a node keeps the reader that it asks.
  mState.mPeer = second;
  mState.mAvoidedUntil.clear();
  STRCMP_EQUAL(second.c_str(), Choose().mPeer.c_str());
}

// Guards against a follower that waits for its reader while a change would be
// late, and against all followers that read from the store at the same moment.
// The delays leave 0.7 s of the shortest bound.
TEST(OperatorRelay, AStaleFollowerReadsFromTheStore)
{
  Millis earliest = Seconds(100);
  Millis latest{ 0 };
  for (int i = 0; i < 100; ++i) {
    mSelf.mName = "node-" + std::to_string(i);
    Millis age{ 0 };
    for (; age < Seconds(10); age += Millis(5)) {
      mState.mConfirmedAt = mNow - age;
      if (Choose().mStore) {
        break;
      }
    }
    CHECK_TRUE(Choose().mCause == SourceCause::Stale);
    earliest = std::min(earliest, age);
    latest = std::max(latest, age);
  }
  CHECK_TRUE(earliest > mSettings.mMaxAge + mSettings.mStoreDelay);
  CHECK_TRUE(latest - earliest > mSettings.mSpread / 2);
  CHECK_TRUE(latest <= Millis(1810));
  mState.mConfirmedAt.reset();
  CHECK_TRUE(Choose().mStore);
}

// Guards against all nodes of a large region that read from the store when the
// readers are late, and against ones that only wait for the late readers.
TEST(OperatorRelay, OnlyTheFirstNodesReplaceLateReaders)
{
  for (int i = 0; i < 10; ++i) {
    Add(Row("node-" + std::to_string(i), "north", 300 - 10 * i));
  }
  const auto late = [&](const std::string& aName) {
    mSelf = mView.mNodes.at(aName).mRow;
    mState.mConfirmedAt = mNow - Seconds(2);
    return Choose();
  };
  for (const char* name : { "node-0", "node-1" }) {
    CHECK_TRUE(late(name).mStore);
    CHECK_TRUE(late(name).mCause == SourceCause::Stale);
  }
  for (const char* name : { "node-2", "node-9", "self" }) {
    const OperatorSource source = late(name);
    CHECK_FALSE(source.mStore);
    CHECK_TRUE(source.mCause == SourceCause::NextReader);
    CHECK_TRUE(source.mPeer == "node-0" || source.mPeer == "node-1");
  }
  // One after the other, and from the store in the end.
  mState.mAvoidedUntil["node-0"] = mNow + Millis(1);
  STRCMP_EQUAL("node-1", late("self").mPeer.c_str());
  for (int i = 1; i < 10; ++i) {
    mState.mAvoidedUntil["node-" + std::to_string(i)] = mNow + Millis(1);
  }
  CHECK_TRUE(late("self").mStore);
  // Nodes that are only late don't let others move up.
  mState.mAvoidedUntil.erase("node-9");
  CHECK_FALSE(late("self").mStore);
}

// Guards against a node that asks one peer after the other, 16 in the largest
// regions, although it reaches none of them.
TEST(OperatorRelay, ANodeThatReachesNoPeerReadsFromTheStore)
{
  for (int i = 0; i < 10; ++i) {
    Add(Row("node-" + std::to_string(i), "north", 300));
  }
  mState.mConfirmedAt = mNow - Seconds(2);
  for (std::uint32_t i = 0; i < mSettings.mMaxUnusablePeers; ++i) {
    CHECK_FALSE(Choose().mStore);
    mState.mPeer = Choose().mPeer;
    RecordPeerFault(mState, mSettings, PeerFault::Unusable, mNow);
  }
  CHECK_TRUE(Choose().mStore);
  // An answer shows that it isn't cut off.
  mState.mPeer = "node-0";
  RecordPeerAnswer(mState);
  CHECK_FALSE(Choose().mStore);
}

// Guards against a region whose first nodes are all cut off from the store, and
// whose others wait for them for ever.
TEST(OperatorRelay, MoreNodesReadFromTheStoreAsTheirCopiesAge)
{
  for (int i = 0; i < 10; ++i) {
    Add(Row("node-" + std::to_string(i), "north", 300 - 10 * i));
  }
  mSelf = mView.mNodes.at("node-5").mRow; // The eighth.
  mState.mConfirmedAt = mNow - mSettings.mStoreReaderStep + Millis(1);
  CHECK_FALSE(Choose().mStore);
  mState.mConfirmedAt = mNow - mSettings.mStoreReaderStep;
  CHECK_TRUE(Choose().mStore);
  mSelf = mView.mNodes.at("self").mRow; // The last one.
  CHECK_FALSE(Choose().mStore);
  mState.mConfirmedAt = mNow - 2 * mSettings.mStoreReaderStep;
  CHECK_TRUE(Choose().mStore);
}

// Guards against a transfer over a slow link that is taken for a silent reader:
// the store would send the same rows once more.
TEST(OperatorRelay, ATransferIsNotTakenForSilence)
{
  mState.mPeer = Choose().mPeer;
  mState.mConfirmedAt = mNow - Seconds(3);
  mState.mTransferUntil = mNow + Millis(1);
  CHECK_FALSE(Choose().mStore);
  CHECK_FALSE(ShouldGiveUpPeer(mState, mSettings, mNow));
  mState.mTransferUntil = mNow;
  CHECK_TRUE(Choose().mStore);
  CHECK_TRUE(ShouldGiveUpPeer(mState, mSettings, mNow));
}

// Guards against followers that all read a large configuration from the store
// because it takes long to arrive at the reader, and against ones that wait for
// ever for a reader that never gets it.
TEST(OperatorRelay, AReaderThatReceivesIsNotGivenUp)
{
  mState.mPeer = Choose().mPeer;
  mState.mConfirmedAt = mNow - Seconds(3);
  mState.mReceivingUntil = mNow + Millis(1);
  CHECK_FALSE(Choose().mStore);
  CHECK_FALSE(ShouldGiveUpPeer(mState, mSettings, mNow));
  mState.mReceivingUntil = mNow;
  CHECK_TRUE(Choose().mStore);
  CHECK_TRUE(ShouldGiveUpPeer(mState, mSettings, mNow));
  mState.mReceivingUntil = mNow + Millis(1);
  mState.mConfirmedAt = mNow - mSettings.mMaxReceivingAge;
  CHECK_TRUE(Choose().mStore);
  CHECK_TRUE(ShouldGiveUpPeer(mState, mSettings, mNow));
}

// Guards against a reader that is given up because the one before it was
// silent, and a silent one that is never given up.
TEST(OperatorRelay, AReaderHasTimeToAnswer)
{
  mState.mConfirmedAt = mNow - Seconds(3);
  CHECK_FALSE(ShouldGiveUpPeer(mState, mSettings, mNow));
  mState.mPeer = "large-1";
  mState.mPeerSince = mNow - mSettings.mMaxAge;
  CHECK_FALSE(ShouldGiveUpPeer(mState, mSettings, mNow));
  CHECK_TRUE(ShouldGiveUpPeer(mState, mSettings, mNow + Millis(1)));
  // The node's own reads from the store say nothing about the peer.
  mState.mConfirmedAt = mNow;
  CHECK_TRUE(ShouldGiveUpPeer(mState, mSettings, mNow + Millis(1)));
  mState.mPeerConfirmedAt = mNow;
  CHECK_FALSE(ShouldGiveUpPeer(mState, mSettings, mNow + Millis(1)));
}

// Guards against a copy that looks younger than it is: the answer was long
// under way, or the peer's clock is slow.
TEST(OperatorRelay, AConfirmationIsNeverTooYoung)
{
  RelayAnswer answer;
  CHECK_FALSE(ConfirmationTime(answer, mNow).has_value());
  for (const double rate : { 0.98, 1.0, 1.02 }) {
    // The store confirms at 0; the peer gets the request 10 ms before that and
    // writes the answer at 300.
    const MonotonicTime confirmed = mNow;
    answer.mHeld = Millis(static_cast<Millis::rep>(310 * rate));
    answer.mAge = Millis(static_cast<Millis::rep>(300 * rate));
    const auto time = ConfirmationTime(answer, mNow - Millis(30));
    CHECK_TRUE(time && *time <= confirmed);
    CHECK_TRUE(confirmed - *time < Millis(60));
  }
}

// Guards against a request that the other side reads differently, and against
// any other text that is taken for one.
TEST(OperatorRelay, ReadsItsRequests)
{
  const auto request = ParseRelayRequest(
    FormatRelayRequest({ 9'000'000'000'000, true, Millis(400) }));
  CHECK_TRUE(request.has_value());
  CHECK_TRUE(request->mAfter == 9'000'000'000'000);
  CHECK_TRUE(request->mLargeRows);
  CHECK_TRUE(request->mWait == Millis(400));
  for (const char* text :
       { "/",
         "/operator-rows?after=1",
         "/operator-rows?after=-1&large=0&wait_ms=0",
         "/operator-rows?after=1&large=2&wait_ms=0",
         "/operator-rows?after=1&large=0&wait_ms=",
         "/operator-rows?after=1&large=0&wait_ms=0x",
         "/operator-rows?after=99999999999999999999&large=0&wait_ms=0" }) {
    CHECK_FALSE(ParseRelayRequest(text).has_value());
  }
}

// Guards against rows that arrive changed, and against damaged or oversized
// answers that are used.
TEST(OperatorRelay, RefusesDamagedAnswers)
{
  RelayAnswer answer;
  answer.mAge = Millis(7);
  answer.mHeld = Millis(8);
  answer.mReceiving = true;
  answer.mRows.mVersion = 12;
  answer.mRows.mListsKeys = true;
  answer.mRows.mKeys = { "config" };
  answer.mRows.mRows = { { "", "", "config", "{\n\"a\":1}", 11, false },
                         { "", "", "evacuate/z", "", 12, true } };
  const std::string text = FormatRelayAnswer(answer);
  const Outcome<RelayAnswer> read = ParseRelayAnswer(text);
  CHECK_TRUE(Succeeded(read));
  const OperatorRows& rows = ValueOf(read).mRows;
  LONGS_EQUAL(12, rows.mVersion);
  LONGS_EQUAL(2, rows.mRows.size());
  STRCMP_EQUAL("{\n\"a\":1}", rows.mRows[0].mValue.c_str());
  LONGS_EQUAL(11, rows.mRows[0].mVersion);
  CHECK_TRUE(ValueOf(read).mReceiving);
  CHECK_TRUE(rows.mRows[1].mRemoved);
  CHECK_TRUE(rows.mListsKeys && rows.mKeys.size() == 1);

  const auto with = [&](const std::string& aFrom, const std::string& aTo) {
    std::string changed = text;
    return changed.replace(changed.find(aFrom), aFrom.size(), aTo);
  };
  for (const std::string& damaged :
       { std::string(),
         std::string("{}\n"),
         std::string("no JSON\n"),
         text.substr(0, text.size() - 1),
         text + "x",
         with("\"age_ms\":7", "\"age_ms\":-7"),
         with("\"age_ms\":7", "\"age_ms\":\"7\""),
         with("\"receiving\":true", "\"receiving\":1"),
         with("\"held_ms\":8", "\"held_ms\":9223372036854775807"),
         with("\"version\":12", "\"version\":-12"),
         with("\"bytes\":8", "\"bytes\":-8"),
         with("\"bytes\":8", "\"bytes\":7"),
         with("[\"config\"]", "[1]"),
         with("\n", "\n" + std::string(7UL << 20, 'x')) }) {
    CHECK_FALSE(Succeeded(ParseRelayAnswer(damaged)));
  }
}
