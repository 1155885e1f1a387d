#include <LibDispatch/Internal.h>

#include <charconv>

namespace paddle::dispatch {

namespace {

/// Reads a number from the beginning of a text, and removes it together with
/// the dot that follows it.
/// @return whether there was a number, followed by a dot or the end of the text
bool
TakeNumber(std::string_view& aText, std::uint32_t& aNumber)
{
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  if (error != std::errc{}) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
  if (aText.empty()) {
    return true;
  }
  if (aText.front() != '.') {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

} // namespace

std::optional<TaskName>
ParseTaskName(std::string_view aText)
{
  const std::size_t dot = aText.find('.');
  if (dot == std::string_view::npos || dot == 0) {
    return {};
  }
  TaskName name;
  name.mJob = aText.substr(0, dot);
  std::string_view rest = aText.substr(dot + 1);
  if (!TakeNumber(rest, name.mOccurrence) || !TakeNumber(rest, name.mStep) ||
      !TakeNumber(rest, name.mIndex) || !rest.empty()) {
    return {};
  }
  return name;
}

std::string
FormatTaskName(const TaskName& aTask)
{
  std::string text = aTask.mJob;
  for (const std::uint32_t part :
       { aTask.mOccurrence, aTask.mStep, aTask.mIndex }) {
    text += '.';
    text += std::to_string(part);
  }
  return text;
}

TaskName
NameOf(const TaskRef& aTask)
{
  return {
    aTask.mJob->mSpec.mId, aTask.mOccurrence, aTask.mStep, aTask.mIndex
  };
}

std::string_view
NameOf(TaskPhase aPhase)
{
  switch (aPhase) {
    case TaskPhase::Waiting:
      return "waiting";
    case TaskPhase::Starting:
      return "starting";
    case TaskPhase::Running:
      return "running";
    case TaskPhase::Stopping:
      return "stopping";
    case TaskPhase::Done:
      return "done";
    case TaskPhase::Elsewhere:
      return "elsewhere";
  }
  return "unknown";
}

TaskRef
FindTask(Dispatcher& aDispatcher, const TaskName& aName)
{
  const auto job = aDispatcher.mJobs.find(aName.mJob);
  if (job == aDispatcher.mJobs.end()) {
    return {};
  }
  const auto occurrence = job->second->mOccurrences.find(aName.mOccurrence);
  if (occurrence == job->second->mOccurrences.end() ||
      aName.mStep >= occurrence->second.mSteps.size() ||
      aName.mIndex >= occurrence->second.mSteps[aName.mStep].mTasks.size()) {
    return {};
  }
  return { job->second.get(), aName.mOccurrence, aName.mStep, aName.mIndex };
}

const QueueSpec*
FindQueue(const Dispatcher& aDispatcher, std::string_view aQueue)
{
  const auto found = aDispatcher.mQueues.find(aQueue);
  return found == aDispatcher.mQueues.end() ? nullptr : &found->second;
}

void
Emit(const Dispatcher& aDispatcher,
     std::string_view aEvent,
     const Job* aJob,
     std::string aDetails)
{
  if (aDispatcher.mSink) {
    aDispatcher.mSink(aEvent, aJob, std::move(aDetails));
  }
}

} // namespace paddle::dispatch
