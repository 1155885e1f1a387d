#include <LibBase/JsonReader.h>
#include <LibDocument/DecisionRecord.h>
#include <LibTime/Time.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(DecisionRecord){};

// Guards against a decision that can't be explained, because encoding or
// decoding its record loses the reason or the figures.
TEST(DecisionRecord, DecodingRestoresReasonAndFigures)
{
  DecisionRecord record;
  record.mTime = std::chrono::system_clock::time_point(Micros(1234567890123));
  record.mMember = "gateway-1";
  record.mDecision = Decision::Refused;
  record.mSubject = "r-1";
  record.mService = "press-desk";
  record.mClientAccount = "Ana's orchard";
  record.mRule = rule::kDeadlineTooShort;
  record.mFigures = { { figure::kDeadlineMs, 500 },
                      { figure::kExpectedMs, 900.5 } };
  record.mCounterfactual = "a deadline of at least 901 ms";
  const auto decoded = DecodeRecords("o", EncodeRecords({ record, record }));
  CHECK_TRUE(Succeeded(decoded));
  LONGS_EQUAL(2, ValueOf(decoded).size());
  STRCMP_EQUAL(WriteJson(ToJson(record)).c_str(),
               WriteJson(ToJson(ValueOf(decoded)[1])).c_str());
  CHECK_TRUE(ValueOf(decoded)[1].mTime == record.mTime);
}

// Guards against a damaged batch of records that is shown as if it were
// complete.
TEST(DecisionRecord, RefusesDamagedBatch)
{
  CHECK_FALSE(Succeeded(DecodeRecords("o", R"({"records": [{}]})")));
  CHECK_FALSE(Succeeded(DecodeRecords("o", R"([])")));
}

// Guards against names of stored batches that sort in another order than the
// batches were written in, for instance "10" before "9".
TEST(DecisionRecord, ObjectNamesSortBySequence)
{
  CHECK_TRUE(RecordObjectName("g", 9) < RecordObjectName("g", 10));
}
