#include <algorithm>
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

// Guards against a row that the store rejects because of the number of images
// or the length of their names: each job may name new ones.
TEST(InterferenceRow, KeepsTheFirstEntriesThatFit)
{
  InterferenceRecord record;
  for (int i = 0; i < 1500; ++i) {
    const std::string name = "image \"" + std::to_string(i) + "\"\n";
    record.mImages.push_back({ name, 123456.789 });
    record.mEffects.push_back({ name, "serving", 123.4, 56.7 });
    record.mEffects.push_back({ "noisy", name, 123.4, 56.7 });
  }
  record.mImages.insert(record.mImages.begin(), { std::string(70000, 'x'), 5 });
  const std::string text = FormatInterference(record);
  CHECK_TRUE(text.size() <= StoreLimits{}.mRowBytes);
  CHECK_TRUE(text.size() > 60000);
  const InterferenceRecord read = ParseInterference(text);
  CHECK_TRUE(read.mImages.size() > 500);
  CHECK_TRUE(read.mEffects.size() > 500);
  std::size_t kept = 0;
  for (std::size_t i = 1; i <= read.mImages.size(); ++i) {
    kept += static_cast<std::size_t>(std::count_if(
      read.mImages.begin(), read.mImages.end(), [&](const auto& aImage) {
        return aImage.mName == record.mImages[i].mName;
      }));
  }
  LONGS_EQUAL(read.mImages.size(), kept);
  STRCMP_EQUAL(text.c_str(), FormatInterference(record).c_str());
}

// Guards against a size that is counted too low, at which the row would exceed
// its bound, for small rows too.
TEST(InterferenceRow, NeverExceedsItsBound)
{
  InterferenceRecord record;
  for (int i = 0; i < 30; ++i) {
    record.mImages.push_back({ "i" + std::to_string(i), 1.5 });
    record.mEffects.push_back(
      { "i" + std::to_string(i / 3), "i" + std::to_string(i % 3), 1, 0.001 });
  }
  const std::size_t full = FormatInterference(record).size();
  for (std::size_t bytes = 50; bytes < 2 * full; ++bytes) {
    CHECK_TRUE(FormatInterference(record, bytes).size() <= bytes);
  }
}
