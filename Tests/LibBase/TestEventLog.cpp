#include <LibBase/EventLog.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(EventLog){};

// Guards against a busy second that hides who owned a shard: the line that a
// takeover had ended was left out beside hundreds of lines about jobs.
TEST(EventLog, LeavesOutDecisionsBeforeChangesOfState)
{
  const EventLogLimits none{ 0, 0, 4096 };
  EventLog log("test", none);
  const MonotonicTime now{ Seconds(1) };
  log.Write(LogLevel::Info, "decision", {}, now);
  LONGS_EQUAL(1, log.Dropped());
  log.Write(LogLevel::Notice, "shard_recovered", {}, now);
  LONGS_EQUAL(1, log.Dropped());
}

// Guards against memory that grows while nobody reads the output.
TEST(EventLog, KeepsWithinItsBuffer)
{
  const EventLogLimits small{ 1000, 1000, 1024 };
  EventLog log("test", small);
  const MonotonicTime now{ Seconds(1) };
  for (int i = 0; i < 100; ++i) {
    log.Write(LogLevel::Error, "failure", "cause=test", now);
  }
  CHECK_TRUE(log.Dropped() > 80);
}
