#include <LibDocument/DaemonSettings.h>

#include <LibBase/JsonReader.h>
#include <LibDocument/DocumentFields.h>

namespace paddle {

namespace {

using Errors = std::vector<std::string>;

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
  // One renewal may be lost without the session lapsing.
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
