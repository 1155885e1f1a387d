#include <LibBase/EventLog.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(EventLog){};

// Guards against a rate limit that drops rare changes of state: hundreds of
// lines about jobs used up the budget of a second, so the line about the end of
// a takeover was dropped and the log did not show who owned the shard.
TEST(EventLog, RateLimitDoesNotApplyToNotices)
{
  const EventLogLimits none{ 0, 0, 4096 };
  EventLog log("test", none);
  const MonotonicTime now{ Seconds(1) };
  log.Write(LogLevel::Info, "decision", {}, now);
  LONGS_EQUAL(1, log.Dropped());
  log.Write(LogLevel::Notice, "shard_recovered", {}, now);
  LONGS_EQUAL(1, log.Dropped());
}

// Guards against a buffer that grows without bound while nobody reads standard
// output.
TEST(EventLog, DropsLinesWhenTheBufferIsFull)
{
  const EventLogLimits small{ 1000, 1000, 1024 };
  EventLog log("test", small);
  const MonotonicTime now{ Seconds(1) };
  for (int i = 0; i < 100; ++i) {
    log.Write(LogLevel::Error, "failure", "cause=test", now);
  }
  CHECK_TRUE(log.Dropped() > 80);
}
