#include "World.h"

#include <fcntl.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace review {

namespace {

constexpr const char* kHost = "review.example";
constexpr const char* kPrefix = "/queue/";
constexpr const char* kService = "service-a";
constexpr std::int64_t kHeartbeatMs = 1100;
constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kStopMs = 100;
constexpr std::int64_t kGangTimeoutMs = 3000;
constexpr std::size_t kMaxEnds = 500;

std::string
ToBase64(const std::string& aText)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group =
        (group << 8) |
        (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0U);
    }
    const std::size_t digits = std::min<std::size_t>(3, aText.size() - i) + 1;
    for (std::size_t j = 0; j < 4; ++j) {
      out += j < digits ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return out;
}

std::string
Quoted(const std::string& aText)
{
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(aText.c_str(), static_cast<rapidjson::SizeType>(aText.size()));
  return { buffer.GetString(), buffer.GetSize() };
}

std::string
TextOf(const rapidjson::Value& aObject, const char* aName)
{
  const auto found = aObject.FindMember(aName);
  return found != aObject.MemberEnd() && found->value.IsString()
           ? std::string(found->value.GetString(),
                         found->value.GetStringLength())
           : std::string();
}

std::int64_t
NumberOf(const rapidjson::Value& aObject, const char* aName)
{
  const auto found = aObject.FindMember(aName);
  return found != aObject.MemberEnd() && found->value.IsInt64()
           ? found->value.GetInt64()
           : 0;
}

/// @return the entries of a list, none if there is no such list
std::vector<const rapidjson::Value*>
EntriesOf(const rapidjson::Value& aObject, const char* aName)
{
  std::vector<const rapidjson::Value*> entries;
  const auto found = aObject.FindMember(aName);
  if (found != aObject.MemberEnd() && found->value.IsArray()) {
    entries.reserve(found->value.Size());
    for (const auto& entry : found->value.GetArray()) {
      entries.push_back(&entry);
    }
  }
  return entries;
}

std::string
QueryOf(const HttpRequest& aRequest, const char* aName)
{
  const auto found = aRequest.mQuery.find(aName);
  return found == aRequest.mQuery.end() ? std::string() : found->second;
}

/// @return ID.STEP of a task's name ID.K.STEP.INDEX
std::string
PlanKey(const std::string& aTask)
{
  const std::size_t first = aTask.find('.');
  const std::size_t second = aTask.find('.', first + 1);
  const std::size_t third = aTask.find('.', second + 1);
  return aTask.substr(0, first) + aTask.substr(second, third - second);
}

/// @return ID.K.STEP of a task's name
std::string
StepPrefix(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    std::perror("record");
    std::exit(2);
  }
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(mMutex);
  std::fprintf(mFile,
               "%8.3f %s\n",
               static_cast<double>(NowMs() - mBegan) / 1000,
               aLine.c_str());
  std::fflush(mFile);
}

HttpResponse
Store::Handle(const HttpRequest& aRequest)
{
  if (aRequest.mPath == "/savorypaddle/rows-tx") {
    SleepMs(3);
    return Transact(aRequest.mBody);
  }
  if (aRequest.mPath == "/savorypaddle/rows-get") {
    return Get(aRequest);
  }
  if (aRequest.mPath == "/savorypaddle/rows-feed") {
    return Feed(aRequest);
  }
  return { 404, "{}" };
}

HttpResponse
Store::Transact(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.data(), aBody.size());
  if (body.HasParseError() || !body.IsObject()) {
    return { 400, "{}" };
  }
  const auto keyOf = [](const rapidjson::Value& aEntry) {
    return RowKey{ TextOf(aEntry, "table"),
                   TextOf(aEntry, "part"),
                   TextOf(aEntry, "key") };
  };
  const std::lock_guard lock(mMutex);
  const auto tail = [&] {
    return "\"ver\":" + std::to_string(mVersion) +
           ",\"now_ms\":" + std::to_string(NowMs()) + "}";
  };
  bool holds = true;
  std::string current;
  {
    for (const auto* entry : EntriesOf(body, "expected_rev")) {
      const RowKey key = keyOf(*entry);
      const auto found = mRows.find(key);
      const std::int64_t version =
        found == mRows.end() ? 0 : found->second.mVersion;
      holds = holds && version == NumberOf(*entry, "ver");
      if (found != mRows.end()) {
        current +=
          (current.empty() ? "" : ",") + std::string("{\"table\":") +
          Quoted(std::get<0>(key)) + ",\"part\":" + Quoted(std::get<1>(key)) +
          ",\"key\":" + Quoted(std::get<2>(key)) + ",\"value\":\"" +
          found->second.mValue + "\",\"ver\":" + std::to_string(version) + "}";
      }
    }
  }
  if (!holds) {
    return { 412, "{\"rows\":[" + current + "]," + tail() };
  }
  ++mVersion;
  {
    for (const auto* entry : EntriesOf(body, "puts")) {
      const RowKey key = keyOf(*entry);
      mRows[key] = { TextOf(*entry, "value"), mVersion };
      mChanges.push_back({ mVersion, key, TextOf(*entry, "value"), false });
    }
  }
  {
    for (const auto* entry : EntriesOf(body, "remove")) {
      if (mRows.erase(keyOf(*entry)) > 0) {
        mChanges.push_back({ mVersion, keyOf(*entry), {}, true });
      }
    }
  }
  mChanged.notify_all();
  return { 200, "{" + tail() };
}

HttpResponse
Store::Get(const HttpRequest& aRequest)
{
  constexpr std::size_t kMaxRows = 500;
  const std::string table = QueryOf(aRequest, "table");
  const std::string part = QueryOf(aRequest, "part");
  const std::string to = QueryOf(aRequest, "to");
  const std::lock_guard lock(mMutex);
  std::string rows;
  std::size_t count = 0;
  bool more = false;
  for (auto at = mRows.lower_bound({ table, part, QueryOf(aRequest, "from") });
       at != mRows.end();
       ++at) {
    const auto& [rowTable, rowPart, key] = at->first;
    if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
      break;
    }
    if (++count > kMaxRows) {
      more = true;
      break;
    }
    rows += (rows.empty() ? "" : ",") + std::string("{\"table\":") +
            Quoted(table) + ",\"part\":" + Quoted(part) +
            ",\"key\":" + Quoted(key) + ",\"value\":\"" + at->second.mValue +
            "\",\"ver\":" + std::to_string(at->second.mVersion) + "}";
  }
  return { 200,
           "{\"rows\":[" + rows +
             "],\"has_more\":" + (more ? "true" : "false") +
             ",\"ver\":" + std::to_string(mVersion) +
             ",\"now_ms\":" + std::to_string(NowMs()) + "}" };
}

HttpResponse
Store::Feed(const HttpRequest& aRequest)
{
  const std::string table = QueryOf(aRequest, "table");
  const std::int64_t after = std::atoll(QueryOf(aRequest, "after").c_str());
  const auto until =
    std::chrono::steady_clock::now() +
    std::chrono::milliseconds(std::atoll(QueryOf(aRequest, "wait_ms").c_str()));
  std::unique_lock lock(mMutex);
  std::string rows;
  const auto collect = [&] {
    for (const Change& change : mChanges) {
      const auto& [rowTable, part, key] = change.mKey;
      if (change.mVersion <= after || rowTable != table) {
        continue;
      }
      rows += (rows.empty() ? "" : ",") + std::string("{\"table\":") +
              Quoted(table) + ",\"part\":" + Quoted(part) +
              ",\"key\":" + Quoted(key) +
              (change.mRemoved ? std::string(",\"tombstone\":true")
                               : ",\"value\":\"" + change.mValue + "\"") +
              ",\"ver\":" + std::to_string(change.mVersion) + "}";
    }
    return !rows.empty();
  };
  mChanged.wait_until(lock, until, collect);
  return { 200,
           "{\"rows\":[" + rows + "],\"ver\":" + std::to_string(mVersion) +
             ",\"now_ms\":" + std::to_string(NowMs()) + "}" };
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  const RowKey key{ aTable, "", aKey };
  mRows[key] = { ToBase64(aText), ++mVersion };
  mChanges.push_back({ mVersion, key, mRows[key].mValue, false });
  mChanged.notify_all();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const RowKey key{ aTable, "", aKey };
  if (mRows.erase(key) > 0) {
    mChanges.push_back({ ++mVersion, key, {}, true });
    mChanged.notify_all();
  }
}

Runner::Runner(World& aWorld,
               std::string aId,
               std::string aZone,
               std::vector<std::string> aLabels,
               Capacity aCapacity)
  : mWorld(aWorld)
  , mId(std::move(aId))
  , mZone(std::move(aZone))
  , mLabels(std::move(aLabels))
  , mCapacity(aCapacity)
  , mBorn(UnixMs())
  , mClockBase(NowMs() - 1000)
{
  mPort =
    Serve([this](const HttpRequest& aRequest) { return Handle(aRequest); });
  Register();
}

std::int64_t
Runner::ClockMs() const
{
  return NowMs() - mClockBase;
}

void
Runner::Register()
{
  mRegisteredMs = NowMs();
  std::string labels;
  for (const std::string& label : mLabels) {
    labels += (labels.empty() ? "" : ",") + Quoted(label);
  }
  mWorld.mStore.Put("servers",
                    mId,
                    std::string("{\"service\":\"") + kService +
                      "\",\"address\":\"127.0.0.1:" + std::to_string(mPort) +
                      "\",\"zone\":" + Quoted(mZone) +
                      ",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                      "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":" +
                      std::to_string(mCapacity.mCpu) +
                      ",\"mem_mb\":" + std::to_string(mCapacity.mMemoryMb) +
                      ",\"gpu\":0},\"labels\":[" + labels +
                      "],\"clock_ms\":" + std::to_string(ClockMs()) +
                      ",\"born\":" + std::to_string(mBorn) +
                      ",\"seq\":" + std::to_string(++mSequence) + "}");
}

void
Runner::Crash()
{
  const std::lock_guard lock(mMutex);
  mWorld.mRecord.Write("runner " + mId + " crashes");
  mAlive = false;
  for (const auto& [task, run] : mRuns) {
    if (mWorld.PlanOf(task).mGang > 0) {
      mWorld.AddGangMember(StepPrefix(task), -1);
    }
  }
  mRuns.clear();
  mEnds.clear();
  mClosedRuns.clear();
  mEnded.notify_all();
  ResetConnections(mPort);
}

void
Runner::AnswerLate(int aLeastMs, int aMostMs)
{
  const std::lock_guard lock(mMutex);
  mLeastDelayMs = aLeastMs;
  mMostDelayMs = aMostMs;
  mWorld.mRecord.Write("looks at " + mId + " are answered after " +
                       std::to_string(aLeastMs) + " to " +
                       std::to_string(aMostMs) + " ms");
}

void
Runner::Unlist()
{
  SleepMs(3 * kHeartbeatMs);
  mWorld.mStore.Remove("servers", mId);
  mWorld.mRecord.Write("the entry of runner " + mId + " is removed");
}

void
Runner::Restart(std::vector<std::string> aLabels)
{
  const std::lock_guard lock(mMutex);
  mLabels = std::move(aLabels);
  mAlive = true;
  mBorn = UnixMs();
  mClockBase = NowMs() - 1;
  mFence = 0;
  mLeaseEnd = 0;
  mLastEnd = 0;
  mSequence = 0;
  Register();
  mWorld.mRecord.Write("runner " + mId + " is back, kind " +
                       (mLabels.empty() ? "" : mLabels[0]) +
                       ", its entry is stored");
}

std::set<std::string>
Runner::Running()
{
  const std::lock_guard lock(mMutex);
  std::set<std::string> tasks;
  for (const auto& [task, run] : mRuns) {
    tasks.insert(task);
  }
  return tasks;
}

void
Runner::EndRun(const std::string& aTask, const std::string& aHow)
{
  const auto found = mRuns.find(aTask);
  if (found == mRuns.end()) {
    return;
  }
  mEnds.push_back({ ++mLastEnd, aTask, found->second.mRun, aHow, NowMs() });
  std::int64_t& closed = mClosedRuns[aTask];
  closed = std::max(closed, found->second.mRun);
  if (mWorld.PlanOf(aTask).mGang > 0) {
    mWorld.AddGangMember(StepPrefix(aTask), -1);
  }
  mWorld.mRecord.Write("run " + aTask + " " +
                       std::to_string(found->second.mRun) + " on " + mId +
                       " ends " + aHow);
  mRuns.erase(found);
  mEnded.notify_all();
}

void
Runner::Tick()
{
  const std::lock_guard lock(mMutex);
  if (!mAlive) {
    return;
  }
  const std::int64_t now = NowMs();
  if (now - mRegisteredMs >= kHeartbeatMs) {
    Register();
  }
  if (ClockMs() >= mLeaseEnd) {
    mLapsedMs = now;
  }
  std::vector<std::pair<std::string, std::string>> ends;
  for (auto& [task, run] : mRuns) {
    const TaskPlan plan = mWorld.PlanOf(task);
    if (run.mBegunMs == 0 &&
        mWorld.GangPresent(StepPrefix(task)) >= plan.mGang) {
      run.mBegunMs = now;
    }
    if (ClockMs() >= mLeaseEnd) {
      ends.emplace_back(task, "lapsed");
    } else if (run.mStopAtMs > 0 && now >= run.mStopAtMs) {
      ends.emplace_back(task, "stopped");
    } else if (run.mBegunMs > 0 && plan.mDurationMs > 0 &&
               now - run.mBegunMs >= plan.mDurationMs) {
      ends.emplace_back(task, "done");
    } else if (run.mBegunMs == 0 && now - run.mStartedMs >= kGangTimeoutMs) {
      ends.emplace_back(task, "alone");
    }
  }
  for (const auto& [task, how] : ends) {
    EndRun(task, how);
  }
}

HttpResponse
Runner::Answer(int aStatus, const char* aReason) const
{
  std::string body = "{\"clock_ms\":" + std::to_string(ClockMs());
  if (aReason != nullptr) {
    body += std::string(",\"reason\":\"") + aReason + "\"";
  }
  return { aStatus, body + "}" };
}

void
Runner::Extend(std::int64_t aDeadlineMs)
{
  mLeaseEnd =
    std::max(mLeaseEnd, std::min(aDeadlineMs, ClockMs() + kMaxHoldMs));
}

HttpResponse
Runner::Handle(const HttpRequest& aRequest)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mAlive) {
      return { 0, {} };
    }
    const auto expected = aRequest.mHeaders.find("x-expect-instance");
    if (expected != aRequest.mHeaders.end() && expected->second != mId) {
      return Answer(421, nullptr);
    }
  }
  if (aRequest.mPath == "/savorypaddle/run-start") {
    return Start(aRequest);
  }
  if (aRequest.mPath == "/savorypaddle/run-stop") {
    return Stop(aRequest);
  }
  if (aRequest.mPath == "/savorypaddle/hold") {
    return Hold(aRequest);
  }
  const std::lock_guard lock(mMutex);
  return Answer(200, nullptr);
}

HttpResponse
Runner::Start(const HttpRequest& aRequest)
{
  rapidjson::Document body;
  body.Parse(aRequest.mBody.data(), aRequest.mBody.size());
  if (!body.IsObject()) {
    return Answer(400, nullptr);
  }
  const std::string task = TextOf(body, "task");
  const std::int64_t run = NumberOf(body, "run");
  const std::int64_t deadline = NumberOf(body, "deadline_ms");
  const std::int64_t fence = NumberOf(body, "fencing_token");
  const std::lock_guard lock(mMutex);
  if (fence < mFence) {
    return Answer(409, "fence");
  }
  mFence = fence;
  Extend(deadline);
  const auto present = mRuns.find(task);
  if (present != mRuns.end() && present->second.mRun == run) {
    return Answer(200, nullptr);
  }
  if (deadline <= ClockMs()) {
    return Answer(409, "late");
  }
  const auto closed = mClosedRuns.find(task);
  if (present != mRuns.end() ||
      (closed != mClosedRuns.end() && run <= closed->second)) {
    return Answer(409, "old");
  }
  const TaskPlan plan = mWorld.PlanOf(task);
  mRuns[task] = { run, plan.mGang > 0 ? 0 : NowMs(), NowMs(), 0 };
  if (plan.mGang > 0) {
    mWorld.AddGangMember(StepPrefix(task), 1);
  }
  mWorld.NoteStart({ task,
                     run,
                     NowMs(),
                     mId,
                     mBorn,
                     mLabels,
                     TextOf(body, "spec"),
                     TextOf(body, "saved") });
  return Answer(200, nullptr);
}

HttpResponse
Runner::Stop(const HttpRequest& aRequest)
{
  rapidjson::Document body;
  body.Parse(aRequest.mBody.data(), aRequest.mBody.size());
  if (!body.IsObject()) {
    return Answer(400, nullptr);
  }
  const std::string task = TextOf(body, "task");
  const std::int64_t run = NumberOf(body, "run");
  const std::lock_guard lock(mMutex);
  if (NumberOf(body, "fencing_token") < mFence) {
    return Answer(409, "fence");
  }
  mFence = NumberOf(body, "fencing_token");
  std::int64_t& closed = mClosedRuns[task];
  closed = std::max(closed, run);
  const auto present = mRuns.find(task);
  if (present != mRuns.end() && present->second.mRun == run &&
      present->second.mStopAtMs == 0) {
    present->second.mStopAtMs = NowMs() + kStopMs;
  }
  return Answer(200, nullptr);
}

HttpResponse
Runner::Hold(const HttpRequest& aRequest)
{
  rapidjson::Document body;
  body.Parse(aRequest.mBody.data(), aRequest.mBody.size());
  if (!body.IsObject()) {
    return Answer(400, nullptr);
  }
  std::unique_lock lock(mMutex);
  if (NumberOf(body, "fencing_token") < mFence) {
    return Answer(409, "fence");
  }
  mFence = NumberOf(body, "fencing_token");
  if (ClockMs() >= mLeaseEnd) {
    mLapsedMs = NowMs();
  }
  Extend(NumberOf(body, "deadline_ms"));
  const std::int64_t seen = NumberOf(body, "last_seen");
  std::erase_if(mEnds, [&](const End& aEnd) {
    if (aEnd.mNumber > seen) {
      return false;
    }
    mWorld.NoteSeenEnd({ aEnd.mTask,
                         aEnd.mRun,
                         aEnd.mHow,
                         aEnd.mEndedMs,
                         NowMs(),
                         mId,
                         mLapsedMs >= aEnd.mEndedMs });
    return true;
  });
  const std::int64_t born = mBorn;
  mEnded.wait_for(lock,
                  std::chrono::milliseconds(NumberOf(body, "wait_ms")),
                  [&] { return !mEnds.empty() || !mAlive || mBorn != born; });
  if (!mAlive || mBorn != born) {
    return { 0, {} };
  }
  std::string running;
  for (const auto& [task, run] : mRuns) {
    running += (running.empty() ? "" : ",") + std::string("[") + Quoted(task) +
               "," + std::to_string(run.mRun) + ",\"\"," +
               (run.mBegunMs > 0 ? "100" : "0") + ",0]";
  }
  std::string finished;
  std::size_t count = 0;
  for (const End& end : mEnds) {
    if (++count > kMaxEnds) {
      break;
    }
    finished += (finished.empty() ? "" : ",") + std::string("[") +
                std::to_string(end.mNumber) + "," + Quoted(end.mTask) + "," +
                std::to_string(end.mRun) + ",\"" + end.mHow + "\",\"\"]";
  }
  const int delay =
    mMostDelayMs == 0
      ? 0
      : mLeastDelayMs + std::rand() % (mMostDelayMs - mLeastDelayMs + 1);
  const std::int64_t clock = ClockMs();
  lock.unlock();
  SleepMs(delay);
  return { 200,
           "{\"clock_ms\":" + std::to_string(clock) +
             ",\"born\":" + std::to_string(born) + ",\"running\":[" + running +
             "],\"finished\":[" + finished + "]}" };
}

World::World(const std::string& aRecord)
  : mRecord(aRecord)
{
  // A run that is broken off also ends the node processes.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([this, signals] {
    int signal = 0;
    sigwait(&signals, &signal);
    End(2);
  }).detach();
  mStorePort = Serve(
    [this](const HttpRequest& aRequest) { return mStore.Handle(aRequest); });
  std::string folder = "/tmp/review-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  mFolder = folder;
  std::thread([this] {
    while (true) {
      std::vector<Runner*> runners;
      {
        const std::lock_guard lock(mMutex);
        runners = mRunners;
      }
      for (Runner* runner : runners) {
        runner->Tick();
      }
      SleepMs(10);
    }
  }).detach();
}

Runner&
World::AddRunner(const std::string& aZone,
                 const std::vector<std::string>& aLabels,
                 Capacity aCapacity)
{
  const std::string id = "i-" + std::to_string(mRunners.size() + 1);
  auto* runner = new Runner(*this, id, aZone, aLabels, aCapacity);
  const std::lock_guard lock(mMutex);
  mRunners.push_back(runner);
  return *runner;
}

void
World::AddNode(const std::string& aZone)
{
  Node node;
  node.mName = "front-" + std::to_string(mNodes.size() + 1);
  node.mFront = FreePort();
  node.mReady = FreePort();
  const int control = FreePort();
  const std::string settings = mFolder + "/" + node.mName + ".conf";
  std::ofstream file(settings);
  const auto address = [](int aPort) {
    return "127.0.0.1:" + std::to_string(aPort) + "\n";
  };
  file << "node_name=" << node.mName
       << "\nrole=node\nmachine_class=front\nserves=front,control\n"
          "ip=127.0.0.1\nzone="
       << aZone
       << "\nregion=region-a\nlisten_addrs.front=" << address(node.mFront)
       << "listen_addrs.ready_addr=" << address(node.mReady)
       << "listen_addrs.control=" << address(control)
       << "bootstrap=true\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\n"
          "limits.memory_mb=260\nlimits.max_fds=4100\n"
          "limits.link_mbps="
       << mLinkMbps
       << "\nheartbeat_ms=1100\n"
          "bounds.contact_ms=4000\nbounds.grace_s=6\n"
          "bounds.max_hold_ms=6000\nbounds.stop_timeout_ms=400\n"
          "bounds.gang_timeout_ms=3000\nbounds.visible_ms=3000\n"
          "bounds.finish_s=14\nbounds.harm_ms=4000\ncommands=rpc\n"
          "platform.address="
       << address(mStorePort)
       << "platform.form=table\nplatform.writes_per_s=600\n"
          "platform.reads_per_s=2000\nplatform.row_bytes=65536\n"
          "platform.cross_shard=true\nplatform.retention_s=20\n";
  file.close();
  node.mSettings = settings;
  mRecord.Write("node " + node.mName + " is in " + aZone);
  Spawn(node);
  mNodes.push_back(node);
}

void
World::Spawn(Node& aNode)
{
  const std::string log = mFolder + "/" + aNode.mName + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0644;
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_CREAT | O_WRONLY | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  // The command of the deploy file, which the program is started with.
  std::string program = "target/savorypaddle-node";
  std::string environment = "SAVORYPADDLE_CONFIG=" + aNode.mSettings;
  char* arguments[] = { program.data(), nullptr };
  char* variables[] = { environment.data(), nullptr };
  if (::posix_spawn(&aNode.mPid,
                    program.c_str(),
                    &actions,
                    &attributes,
                    arguments,
                    variables) != 0) {
    std::perror("savorypaddle-node");
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  mRecord.Write("node " + aNode.mName + " is started");
}

void
World::RestartNode(std::size_t aNode)
{
  Spawn(mNodes[aNode]);
}

void
World::PutConfiguration()
{
  mStore.Put(
    "op",
    "config",
    std::string("{\"version\":7,\"routes\":[{\"name\":\"r-a\",\"host\":\"") +
      kHost + "\",\"path_prefix\":\"" + kPrefix +
      "\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
      "\"target_duration_ms\":400,\"priority\":0,\"service\":\"" +
      kService +
      "\",\"max_attempts\":4,\"stretch\":2.0,\"allowed_regions\":[]}],"
      "\"services\":[{\"name\":\"" +
      kService +
      "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\","
      "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,"
      "\"preconditions\":false,\"standby\":false}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
}

void
World::Evacuate(const std::string& aZone)
{
  mStore.Put("op", "evacuate/" + aZone, "{}");
  mRecord.Write("the operator evacuates " + aZone);
}

void
World::EndEvacuation(const std::string& aZone)
{
  mStore.Remove("op", "evacuate/" + aZone);
  mRecord.Write("the operator takes " + aZone + " back");
}

bool
World::AwaitReady(std::int64_t aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    const bool ready =
      std::all_of(mNodes.begin(), mNodes.end(), [](const Node& aNode) {
        return Call(
                 aNode.mReady, "GET", "/savorypaddle/ready", "ready", {}, 500)
                 .mStatus == 200;
      });
    if (ready) {
      return true;
    }
    SleepMs(200);
  }
  return false;
}

void
World::KillNode(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mPid > 0) {
    ::kill(node.mPid, SIGKILL);
    ::waitpid(node.mPid, nullptr, 0);
    node.mPid = 0;
    mRecord.Write("node " + node.mName + " is killed");
  }
}

void
World::End(int aStatus)
{
  EndNodes();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
  std::_Exit(aStatus);
}

void
World::EndNodes()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    KillNode(i);
  }
}

bool
World::Submit(const std::string& aId,
              const std::string& aSteps,
              const std::string& aSpec,
              const std::string& aMore)
{
  const std::string body =
    "{\"spec\":" + Quoted(aSpec) + ",\"steps\":" + aSteps + aMore + "}";
  for (int attempt = 0; attempt < 20; ++attempt) {
    const Node& node = mNodes[mNextNode++ % mNodes.size()];
    const HttpResponse answer =
      Call(node.mFront, "POST", kPrefix + aId, kHost, body, 3000);
    mRecord.Write("POST " + aId + " to " + node.mName + " is answered " +
                  std::to_string(answer.mStatus));
    if (answer.mStatus == 200) {
      return true;
    }
    SleepMs(500);
  }
  return false;
}

std::string
World::State(const std::string& aId)
{
  const Node& node = mNodes[mNextNode++ % mNodes.size()];
  const HttpResponse answer =
    Call(node.mFront, "GET", kPrefix + aId, kHost, {}, 3000);
  rapidjson::Document body;
  body.Parse(answer.mBody.data(), answer.mBody.size());
  std::string state =
    body.IsObject() ? TextOf(body, "state") : std::to_string(answer.mStatus);
  mRecord.Write("GET " + aId + " at " + node.mName + " is answered " + state);
  return state;
}

void
World::Plan(const std::string& aId, int aStep, const TaskPlan& aPlan)
{
  const std::lock_guard lock(mMutex);
  mPlans[aId + "." + std::to_string(aStep)] = aPlan;
}

TaskPlan
World::PlanOf(const std::string& aTask)
{
  const std::lock_guard lock(mMutex);
  const auto found = mPlans.find(PlanKey(aTask));
  return found == mPlans.end() ? TaskPlan{} : found->second;
}

void
World::NoteStart(const StartSeen& aStart)
{
  std::string labels;
  for (const std::string& label : aStart.mLabels) {
    labels += (labels.empty() ? "" : ",") + label;
  }
  mRecord.Write("run " + aStart.mTask + " " + std::to_string(aStart.mRun) +
                " on " + aStart.mRunner + " (labels " + labels + ") begins");
  const std::lock_guard lock(mMutex);
  mStarts.push_back(aStart);
}

void
World::NoteSeenEnd(const EndSeen& aEnd)
{
  mRecord.Write("the end " + aEnd.mHow + " of run " + aEnd.mTask + " " +
                std::to_string(aEnd.mRun) + " on " + aEnd.mRunner +
                " is taken note of");
  const std::lock_guard lock(mMutex);
  mSeenEnds.push_back(aEnd);
}

std::vector<EndSeen>
World::SeenEnds()
{
  const std::lock_guard lock(mMutex);
  return mSeenEnds;
}

std::vector<StartSeen>
World::Starts()
{
  const std::lock_guard lock(mMutex);
  return mStarts;
}

int
World::GangPresent(const std::string& aStepPrefix)
{
  const std::lock_guard lock(mMutex);
  return mGangs[aStepPrefix];
}

void
World::AddGangMember(const std::string& aStepPrefix, int aChange)
{
  const std::lock_guard lock(mMutex);
  mGangs[aStepPrefix] += aChange;
}

std::set<std::string>
World::RunningOf(const std::string& aId)
{
  std::vector<Runner*> runners;
  {
    const std::lock_guard lock(mMutex);
    runners = mRunners;
  }
  std::set<std::string> tasks;
  for (Runner* runner : runners) {
    for (const std::string& task : runner->Running()) {
      if (task.rfind(aId + ".", 0) == 0) {
        tasks.insert(task);
      }
    }
  }
  return tasks;
}

} // namespace review
