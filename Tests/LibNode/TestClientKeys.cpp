#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <LibNode/ClientKeys.h>
#include <LibNode/RefusedRequest.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

ClientAccount
Account(const std::string& aName, const std::vector<std::string>& aKeys)
{
  ClientAccount account;
  account.mKeys = aKeys;
  account.mSpec.mName = aName;
  return account;
}

/// @return the key that header fields with these values carry, or "none"
std::string
KeyOf(std::initializer_list<std::string_view> aValues)
{
  const std::vector<std::string_view> values(aValues);
  return std::string(ParseBearerKey(values).value_or("none"));
}

} // namespace

TEST_GROUP(ClientKeys)
{
  ClientKeys mKeys = MakeClientKeys(
    std::vector<ClientAccount>{ Account("a", { "key-a1", "key-a2", "key-a1" }),
                                Account("b", { "key-b" }),
                                Account("c", {}) });
  Route mRoute;
  KeyCopyAge mCopy;

  CallDecision Decide(std::initializer_list<std::string_view> aValues)
  {
    const std::vector<std::string_view> values(aValues);
    return DecideCall(mKeys, mRoute, values, mCopy);
  }

  CallVerdict Verdict(std::initializer_list<std::string_view> aValues)
  {
    return Decide(aValues).mVerdict;
  }
};

// Guards against clients that are refused for the way in which they write the
// header field, and against a key that a proxy in front would not see.
TEST(ClientKeys, ReadsTheAuthorizationHeader)
{
  for (const char* value : { "Bearer key", "bearer key", "BEARER  key \t" }) {
    STRCMP_EQUAL("key", KeyOf({ value }).c_str());
  }
  STRCMP_EQUAL("key", KeyOf({ "Bearer key", " Bearer key" }).c_str());
  for (const char* value :
       { "", "Bearer", "Bearer ", "Basic key", "Bearerkey", "key" }) {
    STRCMP_EQUAL("none", KeyOf({ value }).c_str());
  }
  STRCMP_EQUAL("none", KeyOf({}).c_str());
  STRCMP_EQUAL("none", KeyOf({ "Bearer key", "Bearer other" }).c_str());
  STRCMP_EQUAL("none", KeyOf({ "Bearer key", "Basic key" }).c_str());
}

// Guards against a key that admits although only a part of it is right, also
// when its digest is that of a key of an account.
TEST(ClientKeys, FindsTheAccountOfAWholeKeyOnly)
{
  STRCMP_EQUAL("a", FindAccount(mKeys, "key-a2")->c_str());
  STRCMP_EQUAL("b", FindAccount(mKeys, "key-b")->c_str());
  for (const char* key : { "", "key-", "key-a", "key-a11", "KEY-B" }) {
    POINTERS_EQUAL(nullptr, FindAccount(mKeys, key));
  }
  POINTERS_EQUAL(nullptr,
                 FindAccount(mKeys, std::string(kMaxKeyBytes + 1, 'k')));
  for (auto& [digest, key] : mKeys.mByDigest) {
    key.mKey.back() = '#';
  }
  POINTERS_EQUAL(nullptr, FindAccount(mKeys, "key-b"));
}

// Guards against calls that need a key in a deployment without accounts.
TEST(ClientKeys, WithoutAccountsEveryCallIsAdmitted)
{
  mKeys = MakeClientKeys({});
  mCopy = { {}, Millis(1000), true };
  const CallDecision decision = Decide({ "Bearer key-a1" });
  CHECK_TRUE(decision.mVerdict == CallVerdict::Admitted);
  CHECK_TRUE(decision.mCaller.mAccess == JobAccess::All);
  STRCMP_EQUAL("", decision.mCaller.mAccount.c_str());
}

// Guards against a call without a valid key that is served, and against one
// that is served for another account.
TEST(ClientKeys, DecidesByTheKey)
{
  const CallDecision decision = Decide({ "Bearer key-b" });
  CHECK_TRUE(decision.mVerdict == CallVerdict::Admitted);
  CHECK_TRUE(decision.mCaller.mAccess == JobAccess::Own);
  STRCMP_EQUAL("b", decision.mCaller.mAccount.c_str());
  CHECK_TRUE(Verdict({ "Bearer key-c" }) == CallVerdict::KeyUnknown);
  CHECK_TRUE(Verdict({}) == CallVerdict::KeyMissing);
  CHECK_TRUE(Verdict({ "Bearer key-b", "Bearer key-a1" }) ==
             CallVerdict::KeyMissing);
}

// Guards against a copy that admits a key at the age at which the key may have
// been withdrawn too long ago, or before it was ever confirmed.
TEST(ClientKeys, AnOldCopyAdmitsNoKey)
{
  mCopy.mMaxAge = MaxKeyCopyAge(Millis(5000));
  for (const std::optional<Millis> age :
       { std::optional(Millis(4750)), std::optional<Millis>() }) {
    mCopy.mAge = age;
    CHECK_TRUE(Verdict({ "Bearer key-b" }) == CallVerdict::CopyTooOld);
    CHECK_TRUE(Verdict({ "Bearer key-c" }) == CallVerdict::CopyTooOld);
    CHECK_TRUE(Verdict({}) == CallVerdict::CopyTooOld);
  }
  mCopy.mAge = Millis(4749);
  CHECK_TRUE(Verdict({ "Bearer key-b" }) == CallVerdict::Admitted);
  mCopy.mMaxAge = MaxKeyCopyAge({});
  mCopy.mAge = Seconds(3600);
  CHECK_TRUE(Verdict({ "Bearer key-b" }) == CallVerdict::Admitted);
}

// Guards against a public route that refuses calls, and against a withdrawn key
// that still gives access to its account's jobs there.
TEST(ClientKeys, APublicRouteServesEveryCall)
{
  mRoute.mPublic = true;
  const auto access = [&](std::string_view aValue, const char* aAccount) {
    const CallDecision decision = Decide({ aValue });
    CHECK_TRUE(decision.mVerdict == CallVerdict::Admitted);
    STRCMP_EQUAL(aAccount, decision.mCaller.mAccount.c_str());
    return decision.mCaller.mAccess;
  };
  CHECK_TRUE(access("", "") == JobAccess::Own);
  CHECK_TRUE(access("Bearer key-b", "b") == JobAccess::Own);
  CHECK_TRUE(access("Bearer key-c", "") == JobAccess::Own);
  mCopy.mStale = true;
  CHECK_TRUE(access("Bearer key-b", "b") == JobAccess::Own);
  CHECK_TRUE(access("Bearer key-c", "") == JobAccess::Undecided);
  mCopy.mMaxAge = Millis(1000);
  CHECK_TRUE(access("Bearer key-b", "") == JobAccess::Undecided);
  CHECK_TRUE(access("", "") == JobAccess::Own);
}

// Guards against a client without a valid key that fills the log, and against
// lines that are left out without a trace.
TEST(ClientKeys, LimitsLinesByCauseAndAccount)
{
  const MonotonicTime begin{ Seconds(1000) };
  RefusalLimit limit;
  const auto take = [&](RefusalCause aCause, const char* aAccount) {
    return TakeLine(limit, aCause, aAccount, begin);
  };
  CHECK_TRUE(take(RefusalCause::OtherAccount, "a"));
  CHECK_FALSE(take(RefusalCause::OtherAccount, "a"));
  CHECK_FALSE(take(RefusalCause::OtherAccount, "a"));
  CHECK_TRUE(take(RefusalCause::OtherAccount, "b"));
  CHECK_TRUE(take(RefusalCause::CopyTooOld, "a"));
  LONGS_EQUAL(0, TakeLeftOut(limit, begin + Millis(999)).size());
  const auto leftOut = TakeLeftOut(limit, begin + Millis(1000));
  LONGS_EQUAL(1, leftOut.size());
  STRCMP_EQUAL("cause=other_account account=a left_out=2",
               FormatLeftOut(leftOut[0]).c_str());
  // That line counts as well.
  CHECK_FALSE(
    TakeLine(limit, RefusalCause::OtherAccount, "a", begin + Millis(1100)));
  LONGS_EQUAL(1, TakeLeftOut(limit, begin + Millis(2000)).size());
  LONGS_EQUAL(0, TakeLeftOut(limit, begin + Millis(3000)).size());
  CHECK_TRUE(limit.mEntries.empty());
}
