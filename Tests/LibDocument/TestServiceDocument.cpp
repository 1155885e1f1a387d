#include <string>

#include <LibDocument/ServiceDocument.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// A document without problems, which leaves some fields at their defaults.
constexpr const char* kValidDocument = R"({
  // Lends presses to growers.
  "service": "press-desk",
  "team": "presses",
  "routes": [
    { "prefix": "/book", "idempotent": false, "deadlineMs": 1500 },
    { "prefix": "/tanks/watch", "kind": "watch", "idempotent": true }
  ],
  "quota": { "cores": 400, "memoryMb": 1000000 },
  "tasks": [
    { "name": "desk", "count": 10, "size": { "cores": 2, "memoryMb": 4096 } }
  ]
})";

} // namespace

TEST_GROUP(ServiceDocument){};

// Guards against defaults of a service document that differ from the documented
// ones.
TEST(ServiceDocument, ReadsFieldsAndDefaults)
{
  const auto parsed = ParseServiceDocument("p.jsonc", kValidDocument);
  CHECK_TRUE(Succeeded(parsed));
  const ServiceDocument& document = ValueOf(parsed);
  STRCMP_EQUAL("press-desk", document.mService.c_str());
  LONGS_EQUAL(8, document.mSlotsPerRunner);
  LONGS_EQUAL(64, document.mConnectionsPerRunner);
  LONGS_EQUAL(2, document.mWatchSlotsPerRunner);
  LONGS_EQUAL(1500, document.mRoutes[0].mDeadline.count());
  CHECK_TRUE(document.mRoutes[0].mIdempotent == Idempotent::No);
  CHECK_TRUE(document.mRoutes[1].mKind == RouteKind::Watch);
  LONGS_EQUAL(10, document.mTasks[0].mCount);
}

// Guards against a parser that stops at the first problem, so that the author
// must repair one problem per attempt, and against errors that lack the
// position, the value or the allowed range.
TEST(ServiceDocument, ReportsAllProblemsAtOnce)
{
  const auto parsed = ParseServiceDocument("p.jsonc", R"({
  "service": "press desk",
  "team": "presses",
  "slotsPerRunner": 0,
  "watchSlotsPerRunner": 9,
  "routes": [
    { "prefix": "book", "idempotent": "no" },
    { "prefix": "/a", "idempotent": true, "deadlineMs": 5, "dedline": 1 },
    { "prefix": "/a", "idempotent": true }
  ],
  "quota": { "cores": -1 }
})");
  STRCMP_EQUAL(
    "p.jsonc:2:14: field service: must be 1 to 64 letters, digits, \"-\", "
    "\"_\" or \".\" and begin with a letter or digit, is \"press desk\"\n"
    "p.jsonc:4:21: field slotsPerRunner: must be an integer from 1 to 1024, "
    "is 0\n"
    "p.jsonc:5:26: field watchSlotsPerRunner: must be less than "
    "slotsPerRunner (8), because watches would block all other requests, is "
    "9\n"
    "p.jsonc:7:17: field routes[0].prefix: must begin with \"/\", is "
    "\"book\"\n"
    "p.jsonc:7:39: field routes[0].idempotent: must be true or false, is "
    "\"no\"\n"
    "p.jsonc:8:57: field routes[1].deadlineMs: must be an integer from 10 to "
    "600000, is 5\n"
    "p.jsonc:8:71: field routes[1].dedline: is unknown; allowed here: prefix "
    "kind idempotent deadlineMs\n"
    "p.jsonc:9:17: field routes[2].prefix: is the prefix of an earlier route "
    "too, \"/a\"\n"
    "p.jsonc:11:23: field quota.cores: must be a number from 0 to 10000000, is "
    "-1\n"
    "p.jsonc:11:12: field quota.memoryMb: is required but missing",
    ErrorOf(parsed).mMessage.c_str());
}

// Guards against a service whose name is the first part of a path that gateways
// serve themselves, so that one would hide the other.
TEST(ServiceDocument, RefusesReservedServiceName)
{
  std::string text = kValidDocument;
  text.replace(text.find("press-desk"), 10, "savorypaddle");
  CHECK_FALSE(Succeeded(ParseServiceDocument("p.jsonc", text)));
}

// Guards against a key that is given twice, of which one reader uses the first
// value and another reader the second.
TEST(ServiceDocument, RefusesDuplicateKeys)
{
  const auto parsed =
    ParseServiceDocument("p.jsonc", R"({"team": "a", "team": "b"})");
  STRCMP_EQUAL("p.jsonc:1:15: Duplicate key: 'team'",
               ErrorOf(parsed).mMessage.c_str());
}
