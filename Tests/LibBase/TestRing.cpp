#include <string>

#include <LibBase/Ring.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(Ring){};

// Guards against a producer that blocks under overload, and against losing the
// elements that a closed ring still contains.
TEST(Ring, RefusesWhenFullAndWhenClosed)
{
  Ring<int> ring(2);
  CHECK_TRUE(ring.TryPush(1) == PushResult::Accepted);
  CHECK_TRUE(ring.TryPush(2) == PushResult::Accepted);
  CHECK_TRUE(ring.TryPush(3) == PushResult::Full);
  LONGS_EQUAL(1, *ring.Pop(Micros(0)));
  ring.Close();
  CHECK_TRUE(ring.TryPush(4) == PushResult::Closed);
  LONGS_EQUAL(2, *ring.Pop(Micros(0)));
  CHECK_FALSE(ring.Pop(Micros(0)).has_value());
}
