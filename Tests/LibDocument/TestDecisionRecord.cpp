#include <LibBase/JsonReader.h>
#include <LibDocument/DecisionRecord.h>
#include <LibTime/Time.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(DecisionRecord){};

// Guards against a record whose reason or figures are lost on the way to the
// store, so that a decision can't be explained.
TEST(DecisionRecord, SurvivesEncoding)
{
  DecisionRecord record;
  record.mTime = std::chrono::system_clock::time_point(Micros(1234567890123));
  record.mMember = "gateway-1";
  record.mDecision = Decision::Refused;
  record.mSubject = "r-1";
  record.mService = "press-desk";
  record.mCustomer = "Ana's orchard";
  record.mRule = rule::kDeadlineTooShort;
  record.mFigures = { { figure::kDeadlineMs, 500 },
                      { figure::kExpectedMs, 900.5 } };
  record.mWhatWouldHaveChangedIt = "a deadline of at least 901 ms";
  const auto decoded = DecodeRecords("o", EncodeRecords({ record, record }));
  CHECK_TRUE(Succeeded(decoded));
  LONGS_EQUAL(2, ValueOf(decoded).size());
  STRCMP_EQUAL(WriteJson(ToJson(record)).c_str(),
               WriteJson(ToJson(ValueOf(decoded)[1])).c_str());
  CHECK_TRUE(ValueOf(decoded)[1].mTime == record.mTime);
}

// Guards against a damaged batch that is shown as if it were complete.
TEST(DecisionRecord, RefusesDamagedBatch)
{
  CHECK_FALSE(Succeeded(DecodeRecords("o", R"({"records": [{}]})")));
  CHECK_FALSE(Succeeded(DecodeRecords("o", R"([])")));
}

// Guards against names that sort in another order than the decisions.
TEST(DecisionRecord, NamesSortBySequence)
{
  CHECK_TRUE(RecordObjectName("g", 9) < RecordObjectName("g", 10));
}
