#include <LibDocument/ServiceDocument.h>

#include <set>

#include <LibBase/JsonReader.h>
#include <LibDocument/DocumentFields.h>

namespace paddle {

namespace {

/// The collected problems of a document, one line each.
using Errors = std::vector<std::string>;

/// Reads the path of a URL, which must begin with "/".
std::string
ReadPath(ObjectReader& aReader,
         const char* aField,
         Presence aPresence,
         std::string aDefault)
{
  std::string path = aReader.Text(aField, aPresence, std::move(aDefault));
  if (!path.empty() && path.front() != '/') {
    aReader.Fail(aField, "must begin with \"/\", is \"" + path + "\"");
  }
  return path;
}

/// Reads one element of the array "routes".
Route
ReadRoute(ObjectReader& aReader)
{
  Route route;
  route.mPrefix = ReadPath(aReader, "prefix", Presence::Required, "");
  const std::string kind =
    aReader.Choice("kind", { "short", "watch" }, Presence::Optional, "short");
  route.mKind = kind == "watch" ? RouteKind::Watch : RouteKind::Short;
  route.mIdempotent = aReader.Boolean("idempotent", Presence::Required)
                        ? Idempotent::Yes
                        : Idempotent::No;
  route.mDeadline =
    Millis(aReader.Integer("deadlineMs", 10, 600000, Presence::Optional, 2000));
  aReader.Finish();
  return route;
}

/// Reads the array "routes"; the prefixes must be unique.
std::vector<Route>
ReadRoutes(const JsonText& aText, ObjectReader& aParent, Errors& aErrors)
{
  std::vector<Route> routes;
  std::set<std::string> prefixes;
  const Json::Value& array = aParent.Array("routes", Presence::Optional);
  for (Json::ArrayIndex i = 0; i < array.size(); ++i) {
    ObjectReader reader(
      aText, array[i], ElementPath(aParent, "routes", i), aErrors);
    routes.push_back(ReadRoute(reader));
    const std::string& prefix = routes.back().mPrefix;
    if (!prefix.empty() && !prefixes.insert(prefix).second) {
      reader.Fail("prefix",
                  "is the prefix of an earlier route too, \"" + prefix + "\"");
    }
  }
  return routes;
}

/// Reads the array "tasks"; the names must be unique.
std::vector<ServiceTaskGroup>
ReadTasks(const JsonText& aText, ObjectReader& aParent, Errors& aErrors)
{
  std::vector<ServiceTaskGroup> tasks;
  std::set<std::string> names;
  const Json::Value& array = aParent.Array("tasks", Presence::Optional);
  for (Json::ArrayIndex i = 0; i < array.size(); ++i) {
    ObjectReader reader(
      aText, array[i], ElementPath(aParent, "tasks", i), aErrors);
    ServiceTaskGroup group;
    group.mName = ReadName(reader, "name", Presence::Required);
    group.mCount = static_cast<std::uint32_t>(
      reader.Integer("count", 0, 100000, Presence::Required));
    group.mSize = ReadResources(aText, reader, "size", kTaskLimits, aErrors);
    reader.Finish();
    if (!group.mName.empty() && !names.insert(group.mName).second) {
      reader.Fail(
        "name", "is the name of an earlier entry too, \"" + group.mName + "\"");
    }
    tasks.push_back(std::move(group));
  }
  return tasks;
}

/// Reads the limits of requests and connections per runner and checks them
/// against each other.
void
ReadRunnerLimits(ObjectReader& aReader, ServiceDocument& aDocument)
{
  aDocument.mSlotsPerRunner = static_cast<std::uint32_t>(
    aReader.Integer("slotsPerRunner", 1, 1024, Presence::Optional, 8));
  aDocument.mConnectionsPerRunner = static_cast<std::uint32_t>(
    aReader.Integer("connectionsPerRunner", 1, 65536, Presence::Optional, 64));
  aDocument.mWatchSlotsPerRunner = static_cast<std::uint32_t>(
    aReader.Integer("watchSlotsPerRunner", 0, 1024, Presence::Optional, 2));
  if (aDocument.mWatchSlotsPerRunner >= aDocument.mSlotsPerRunner) {
    aReader.Fail("watchSlotsPerRunner",
                 "must be less than slotsPerRunner (" +
                   std::to_string(aDocument.mSlotsPerRunner) +
                   "), because watches would block all other requests, is " +
                   std::to_string(aDocument.mWatchSlotsPerRunner));
  }
  if (aDocument.mConnectionsPerRunner < aDocument.mSlotsPerRunner) {
    aReader.Fail("connectionsPerRunner",
                 "must be at least slotsPerRunner (" +
                   std::to_string(aDocument.mSlotsPerRunner) +
                   "), because each request has its own connection, is " +
                   std::to_string(aDocument.mConnectionsPerRunner));
  }
}

/// Reads "longestRunMs", the maximum time that a runner works on a short
/// request. The default is twice the longest deadline of a short route, and no
/// value below that deadline is allowed.
Millis
ReadLongestRun(ObjectReader& aReader, const std::vector<Route>& aRoutes)
{
  Millis longestDeadline{ 0 };
  for (const Route& route : aRoutes) {
    if (route.mKind == RouteKind::Short) {
      longestDeadline = std::max(longestDeadline, route.mDeadline);
    }
  }
  const Millis longestRun(aReader.Integer("longestRunMs",
                                          1,
                                          600000,
                                          Presence::Optional,
                                          2 * longestDeadline.count()));
  if (longestRun < longestDeadline) {
    aReader.Fail("longestRunMs",
                 "must be at least the longest deadline of a short route (" +
                   std::to_string(longestDeadline.count()) + " ms), is " +
                   std::to_string(longestRun.count()));
  }
  return longestRun;
}

/// Reads the name of the service. The first parts of paths that gateways serve
/// themselves are refused, because such a service could not be reached.
std::string
ReadServiceName(ObjectReader& aReader)
{
  std::string name = ReadName(aReader, "service", Presence::Required);
  if (name == "savorypaddle" || name == "rpc") {
    aReader.Fail("service",
                 "must not be \"" + name +
                   "\", because gateways use this path themselves");
  }
  return name;
}

} // namespace

Outcome<ServiceDocument>
ParseServiceDocument(std::string_view aFile, std::string_view aText)
{
  const Outcome<JsonText> parsed = ParseJsonText(aFile, std::string(aText));
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const JsonText& text = ValueOf(parsed);
  Errors errors;
  ObjectReader reader(text, text.mRoot, "", errors);
  ServiceDocument document;
  document.mService = ReadServiceName(reader);
  document.mTeam = ReadName(reader, "team", Presence::Required);
  ReadRunnerLimits(reader, document);
  document.mLongestWatch = Millis(
    reader.Integer("longestWatchMs", 1000, 600000, Presence::Optional, 120000));
  document.mHealthPath =
    ReadPath(reader, "healthPath", Presence::Optional, "/health");
  document.mRoutes = ReadRoutes(text, reader, errors);
  document.mLongestRun = ReadLongestRun(reader, document.mRoutes);
  document.mQuota = ReadResources(text, reader, "quota", kQuotaLimits, errors);
  document.mEvictionsPerHour = static_cast<std::uint32_t>(
    reader.Integer("evictionsPerHour", 0, 100000, Presence::Optional, 60));
  document.mTasks = ReadTasks(text, reader, errors);
  reader.Finish();
  if (!errors.empty()) {
    return JoinErrors(errors);
  }
  return document;
}

} // namespace paddle
