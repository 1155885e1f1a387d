#include <Utilities/CommandLine.h>

#include <CLI/CLI.hpp>
#include <map>
#include <pwd.h>
#include <unistd.h>

namespace paddle {

namespace {

constexpr int kUsageError = 2;

constexpr const char* kFooter =
  "Exit codes: 0 done; 1 refused, or somebody else's change came first;\n"
  "2 usage or bad input; 3 the platform or the schedulers can't be reached;\n"
  "4 sent, but the outcome is not known (run the same command again).\n"
  "docs/operations.md shows each command with its output.";

using Commands = std::map<const CLI::App*, Command>;

void
AddWhy(CLI::App& aCommand, Invocation& aInvocation, bool aRequired)
{
  aCommand.add_option("--why", aInvocation.mWhy, "reason, for the audit trail")
    ->required(aRequired);
  aCommand
    .add_option("--who",
                aInvocation.mWho,
                "who makes the change, for the audit trail; default: the "
                "login name")
    ->envname("PADDLE_WHO");
}

std::string
LoginName()
{
  const passwd* entry = getpwuid(geteuid());
  return entry ? entry->pw_name : "uid " + std::to_string(geteuid());
}

CLI::App&
Add(CLI::App& aApp,
    Commands& aCommands,
    Command aCommand,
    const char* aName,
    const char* aHelp)
{
  CLI::App* added = aApp.add_subcommand(aName, aHelp);
  added->footer(kFooter);
  aCommands[added] = aCommand;
  return *added;
}

void
AddDocumentCommands(CLI::App& aApp, Commands& aCommands, Invocation& aInto)
{
  CLI::App& apply =
    Add(aApp,
        aCommands,
        Command::Apply,
        "apply",
        "Accept a service or places document; the same text changes nothing");
  apply.add_option("file", aInto.mSubject, "document")->required();
  apply.add_option("--from",
                   aInto.mFrom,
                   "version this change starts from; any other version in "
                   "force is a conflict");
  AddWhy(apply, aInto, false);
  CLI::App& check = Add(aApp,
                        aCommands,
                        Command::Check,
                        "check",
                        "Check a document of any kind without the platform");
  check.add_option("file", aInto.mSubject, "document")->required();
}

void
AddOperatorCommands(CLI::App& aApp, Commands& aCommands, Invocation& aInto)
{
  CLI::App& drain = Add(aApp,
                        aCommands,
                        Command::Drain,
                        "drain",
                        "Take a data centre out of service");
  drain.add_option("data-centre", aInto.mSubject, "name")->required();
  AddWhy(drain, aInto, true);
  CLI::App& back = Add(aApp,
                       aCommands,
                       Command::Return,
                       "return",
                       "Return a data centre to service");
  back.add_option("data-centre", aInto.mSubject, "name")->required();
  AddWhy(back, aInto, true);
  CLI::App& release =
    Add(aApp,
        aCommands,
        Command::Release,
        "release",
        "Let others take over from a process whose host is gone; watches its "
        "session for more than a lease term first");
  release.add_option("member", aInto.mSubject, "name of the process")
    ->required();
  AddWhy(release, aInto, true);
  Add(aApp,
      aCommands,
      Command::Status,
      "status",
      "Show documents, data centres, members, shards and jobs");
  CLI::App& audit = Add(aApp,
                        aCommands,
                        Command::Audit,
                        "audit",
                        "Show accepted changes, oldest first");
  audit.add_option("--since",
                   aInto.mSince,
                   "a revision, or a time in UTC like 2026-12-04T09:30; "
                   "default: the latest 50 changes");
}

void
AddJobCommands(CLI::App& aApp, Commands& aCommands, Invocation& aInto)
{
  CLI::App& submit = Add(aApp,
                         aCommands,
                         Command::Submit,
                         "submit",
                         "Submit a job; submitting it again changes nothing");
  submit.add_option("file", aInto.mSubject, "job document")->required();
  submit.add_option(
    "--job", aInto.mJob, "job id instead of the one in the document");
  CLI::App& cancel =
    Add(aApp, aCommands, Command::Cancel, "cancel", "Cancel a job");
  cancel.add_option("job", aInto.mSubject, "job id")->required();
  AddWhy(cancel, aInto, true);
}

void
AddWindow(CLI::App& aCommand, Invocation& aInto)
{
  aCommand.add_option("--since",
                      aInto.mSince,
                      "a time in UTC like 2026-12-04T09:30; default: 15 "
                      "minutes ago");
  aCommand.add_option(
    "--member", aInto.mMember, "read the records of this process only");
  aCommand
    .add_option("--batches",
                aInto.mBatches,
                "most batches of records to read per process, a batch holds "
                "about a second")
    ->capture_default_str();
}

void
AddExplanations(CLI::App& aApp, Commands& aCommands, Invocation& aInto)
{
  CLI::App& explain = Add(aApp,
                          aCommands,
                          Command::Explain,
                          "explain",
                          "Explain the decisions about a request or a job");
  explain.add_option("id", aInto.mSubject, "request id or job id")->required();
  explain.add_option(
    "--other", aInto.mOther, "request or job to compare it with");
  AddWindow(explain, aInto);
  CLI::App& fairness =
    Add(aApp,
        aCommands,
        Command::Fairness,
        "fairness",
        "Show how the customers and teams of a service were served");
  fairness.add_option("service", aInto.mSubject, "name")->required();
  AddWindow(fairness, aInto);
}

} // namespace

std::variant<Invocation, int>
ParseCommandLine(int aCount, char** aArguments)
{
  Invocation invocation;
  Commands commands;
  CLI::App app("savorypaddle: control of the colocated services and jobs");
  app.footer(kFooter);
  app.require_subcommand(1);
  // Options of the program may follow the command.
  app.fallthrough();
  app
    .add_option(
      "--platform", invocation.mPlatform, "address of the platform, IP:PORT")
    ->envname("PADDLE_PLATFORM");
  app
    .add_option(
      "--timeout-ms", invocation.mTimeoutMs, "how long to wait for each answer")
    ->check(CLI::Range(50, 60000))
    ->capture_default_str();
  bool json = false;
  app.add_flag("--json", json, "print JSON instead of text");
  AddDocumentCommands(app, commands, invocation);
  AddOperatorCommands(app, commands, invocation);
  AddJobCommands(app, commands, invocation);
  AddExplanations(app, commands, invocation);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUsageError;
  }
  if (invocation.mWho.empty()) {
    invocation.mWho = LoginName();
  }
  invocation.mForm = json ? OutputForm::Json : OutputForm::Text;
  invocation.mCommand = commands.at(app.get_subcommands().front());
  return invocation;
}

} // namespace paddle
