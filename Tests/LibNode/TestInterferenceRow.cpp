#include <string>

#include <LibNode/InterferenceRow.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

TEST_GROUP(InterferenceRow){};

// Guards against losing interference estimates when a shard changes its owner.
TEST(InterferenceRow, ReadsWhatItWrites)
{
  InterferenceRecord record;
  record.mImages.push_back({ "serving \"one\"", 4.25 });
  record.mEffects.push_back({ "noisy", "serving \"one\"", 2.5, 0.0625 });
  const InterferenceRecord read = ParseInterference(FormatInterference(record));
  LONGS_EQUAL(1, read.mImages.size());
  STRCMP_EQUAL("serving \"one\"", read.mImages[0].mName.c_str());
  DOUBLES_EQUAL(4.25, read.mImages[0].mMinTailMs, 1e-9);
  LONGS_EQUAL(1, read.mEffects.size());
  STRCMP_EQUAL("noisy", read.mEffects[0].mInterfering.c_str());
  DOUBLES_EQUAL(2.5, read.mEffects[0].mMean, 1e-9);
  DOUBLES_EQUAL(0.063, read.mEffects[0].mVariance, 1e-9);
}

// Guards against a process that ends because a stored row is malformed.
TEST(InterferenceRow, SkipsMalformedEntries)
{
  for (const char* text : { "",
                            "[]",
                            "{\"tails\":3,\"effects\":[1]}",
                            "{\"tails\":{\"a\":\"b\"}}",
                            "{\"tails\":{\"a\":-1}}",
                            "{\"effects\":{\"a\":{\"b\":[1,-1]}}}",
                            "{\"effects\":{\"a\":[1],\"b\":{\"c\":[1]}}}" }) {
    const InterferenceRecord read = ParseInterference(text);
    CHECK_TRUE(read.mImages.empty());
    CHECK_TRUE(read.mEffects.empty());
  }
}
