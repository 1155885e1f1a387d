#include <LibDocument/DaemonSettings.h>

#include <LibBase/JsonReader.h>
#include <LibDocument/DocumentFields.h>

namespace paddle {

namespace {

/// The collected problems of a document, one line each.
using Errors = std::vector<std::string>;

/// @return the level named by the field "logLevel"; info if it is absent
LogLevel
ReadLogLevel(ObjectReader& aReader)
{
  const std::string level =
    aReader.Choice("logLevel",
                   { "debug", "info", "warning", "error" },
                   Presence::Optional,
                   "info");
  if (level == "debug") {
    return LogLevel::Debug;
  }
  if (level == "warning") {
    return LogLevel::Warning;
  }
  return level == "error" ? LogLevel::Error : LogLevel::Info;
}

/// Reads the required object "platform": the addresses of the table service,
/// the object store and the host list, and the time-out of each call.
PlatformSettings
ReadPlatform(const JsonText& aText, ObjectReader& aParent, Errors& aErrors)
{
  PlatformSettings platform;
  const Json::Value& value = aParent.Object("platform", Presence::Required);
  if (value.isNull()) {
    return platform;
  }
  ObjectReader reader(aText, value, "platform", aErrors);
  platform.mTable = ReadEndpoint(reader, "table", Presence::Required);
  platform.mObjects = ReadEndpoint(reader, "objects", Presence::Required);
  platform.mHosts = ReadEndpoint(reader, "hosts", Presence::Required);
  platform.mTimeout =
    Millis(reader.Integer("timeoutMs", 50, 10000, Presence::Optional, 1000));
  reader.Finish();
  return platform;
}

/// Reads the optional object "lease" and checks its fields against each other.
LeaseSettings
ReadLease(const JsonText& aText, ObjectReader& aParent, Errors& aErrors)
{
  LeaseSettings lease;
  const Json::Value& value = aParent.Object("lease", Presence::Optional);
  if (value.isNull()) {
    return lease;
  }
  ObjectReader reader(aText, value, "lease", aErrors);
  lease.mTerm =
    Millis(reader.Integer("termMs", 200, 60000, Presence::Optional, 3000));
  lease.mRenewInterval = Millis(
    reader.Integer("renewIntervalMs", 50, 20000, Presence::Optional, 1000));
  lease.mForeignTakeoverWait = Millis(reader.Integer(
    "foreignTakeoverWaitMs", 200, 3600000, Presence::Optional, 660000));
  reader.Finish();
  // Two renewals fit into a lease term, so that the session survives the loss
  // of one renewal.
  if (lease.mRenewInterval * 2 > lease.mTerm) {
    reader.Fail("renewIntervalMs",
                "must be at most half of termMs (" +
                  std::to_string(lease.mTerm.count()) + "), is " +
                  std::to_string(lease.mRenewInterval.count()));
  }
  if (lease.mForeignTakeoverWait < lease.mTerm) {
    reader.Fail("foreignTakeoverWaitMs",
                "must be at least termMs (" +
                  std::to_string(lease.mTerm.count()) + "), is " +
                  std::to_string(lease.mForeignTakeoverWait.count()));
  }
  return lease;
}

} // namespace

Outcome<DaemonSettings>
ParseDaemonSettings(std::string_view aFile, std::string_view aText)
{
  const Outcome<JsonText> parsed = ParseJsonText(aFile, std::string(aText));
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const JsonText& text = ValueOf(parsed);
  Errors errors;
  ObjectReader reader(text, text.mRoot, "", errors);
  DaemonSettings settings;
  settings.mSelf.mName = ReadName(reader, "member", Presence::Required);
  settings.mSelf.mDataCentre =
    ReadName(reader, "dataCentre", Presence::Required);
  settings.mSelf.mRegion = ReadName(reader, "region", Presence::Required);
  settings.mSelf.mAddress = ReadEndpoint(reader, "listen", Presence::Required);
  settings.mPlatform = ReadPlatform(text, reader, errors);
  settings.mLogLevel = ReadLogLevel(reader);
  settings.mRoutingPolicy =
    reader.Text("routingPolicy", Presence::Optional, settings.mRoutingPolicy);
  settings.mPlacementPolicy = reader.Text(
    "placementPolicy", Presence::Optional, settings.mPlacementPolicy);
  settings.mLease = ReadLease(text, reader, errors);
  reader.Finish();
  if (!errors.empty()) {
    return JoinErrors(errors);
  }
  return settings;
}

} // namespace paddle
