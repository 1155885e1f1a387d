#include <LibNode/RunnerPort.h>

namespace paddle {

std::string_view
NameOf(RunnerResult aResult)
{
  switch (aResult) {
    case RunnerResult::Done:
      return "done";
    case RunnerResult::Fenced:
      return "fenced";
    case RunnerResult::WrongRunner:
      return "wrong_runner";
    case RunnerResult::OldRunNumber:
      return "old_run_number";
    case RunnerResult::LeaseAlreadyEnded:
      return "lease_already_ended";
    case RunnerResult::NotEnoughCapacity:
      return "not_enough_capacity";
    case RunnerResult::TicketRejected:
      return "ticket_rejected";
    case RunnerResult::Unhealthy:
      return "unhealthy";
    case RunnerResult::Invalid:
      return "invalid";
    case RunnerResult::NotSent:
      return "not_sent";
    case RunnerResult::Unknown:
      return "no_answer";
  }
  return "unknown";
}

} // namespace paddle
