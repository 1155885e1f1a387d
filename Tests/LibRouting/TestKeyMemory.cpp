#include <LibRouting/KeyMemory.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const MonotonicTime kNow{ Seconds(1000) };

std::shared_ptr<const std::string>
Answer(std::size_t aSize)
{
  return std::make_shared<const std::string>(aSize, 'a');
}

} // namespace

TEST_GROUP(KeyMemory){};

// Guards against a repeated request that runs again during or after the first
// one.
TEST(KeyMemory, RepeatsWaitAndThenGetTheStoredAnswer)
{
  KeyMemory memory;
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Run);
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Wait);
  FinishKey(memory, "k", Answer(10), kNow);
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Replay);
}

// Guards against a second run because the answer was too large to store.
TEST(KeyMemory, RemembersTheEndWithoutALargeAnswer)
{
  KeyMemory memory;
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Run);
  FinishKey(memory, "k", Answer(kMaxStoredAnswerBytes + 1), kNow);
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::AnswerTooLarge);
}

// Guards against a key that stays blocked although its request never ran.
TEST(KeyMemory, AForgottenKeyMayRun)
{
  KeyMemory memory;
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Run);
  ForgetKey(memory, "k");
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Run);
}

// Guards against the loss of entries before their expiry when the memory is
// full, and against memory that is never released.
TEST(KeyMemory, RefusesNewKeysWhenFullUntilOldOnesExpire)
{
  KeyMemory memory;
  memory.mSettings.mMaxBytes = 2 * kMaxStoredAnswerBytes;
  CHECK_TRUE(AdmitKey(memory, "a", kNow) == KeyDecision::Run);
  FinishKey(memory, "a", Answer(kMaxStoredAnswerBytes), kNow);
  CHECK_TRUE(AdmitKey(memory, "b", kNow) == KeyDecision::Full);
  CHECK_TRUE(AdmitKey(memory, "a", kNow) == KeyDecision::Replay);
  const MonotonicTime later = kNow + kKeyRetentionMs;
  CHECK_TRUE(AdmitKey(memory, "b", later) == KeyDecision::Run);
}

// Guards against a second run of a request whose entry was lost with the owner
// of its key.
TEST(KeyMemory, AnswersUnknownWhereEntriesMayBeLost)
{
  for (const auto& [acquisition, copies] :
       { std::pair(Acquisition::Takeover, KeyCopies::Synced),
         std::pair(Acquisition::Successor, KeyCopies::Missing),
         std::pair(Acquisition::HandOver, KeyCopies::Missing) }) {
    KeyMemory memory;
    AdoptKeys(memory, acquisition, copies, kNow);
    CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Unknown);
    CHECK_TRUE(AdmitKey(memory, "k", kNow + kKeyRetentionMs) ==
               KeyDecision::Run);
  }
}

// Guards against "unknown" answers where the copies are complete, and against a
// second run of requests that the predecessor had running.
TEST(KeyMemory, TheSuccessorContinuesWithItsCopies)
{
  KeyMemory memory;
  CHECK_TRUE(AdmitKey(memory, "running", kNow) == KeyDecision::Run);
  FinishKey(memory, "done", Answer(1), kNow);
  AdoptKeys(memory, Acquisition::Successor, KeyCopies::Synced, kNow);
  CHECK_TRUE(AdmitKey(memory, "running", kNow) == KeyDecision::Unknown);
  CHECK_TRUE(AdmitKey(memory, "done", kNow) == KeyDecision::Replay);
  CHECK_TRUE(AdmitKey(memory, "new", kNow) == KeyDecision::Run);
}

// Guards against "unknown" answers after the first start of a deployment, when
// no entry can be lost.
TEST(KeyMemory, TheFirstOwnerStartsComplete)
{
  KeyMemory memory;
  AdoptKeys(memory, Acquisition::FirstOwner, KeyCopies::Missing, kNow);
  CHECK_TRUE(AdmitKey(memory, "k", kNow) == KeyDecision::Run);
}
