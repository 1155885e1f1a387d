#include <Utilities/CommandLine.h>

#include <CLI/CLI.hpp>
#include <map>
#include <pwd.h>
#include <unistd.h>

namespace paddle {

namespace {

/// Exit code after wrong arguments, see kHelpFooter.
constexpr int kUsageErrorExitCode = 2;

/// The end of every help text.
constexpr const char* kHelpFooter =
  "Exit codes: 0 done; 1 refused, or somebody else's change came first;\n"
  "2 usage or bad input; 3 the platform or the schedulers can't be reached;\n"
  "4 sent, but the outcome is not known (run the same command again).\n"
  "docs/operations.md shows each command with its output.";

/// The command for each subcommand parser of the CLI library.
using CommandsByParser = std::map<const CLI::App*, Command>;

/// Adds the options that say who makes a change and why.
/// @param aRequired whether the reason must be given
void
AddAuthorOptions(CLI::App& aCommand, Invocation& aInvocation, bool aRequired)
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

/// @return the login name of the effective user, or the user id if the user has
///         no entry in the password database
std::string
LoginName()
{
  const passwd* entry = getpwuid(geteuid());
  return entry ? entry->pw_name : "uid " + std::to_string(geteuid());
}

/// Adds a subcommand to the parser.
/// @param aName the name that users type
CLI::App&
AddCommand(CLI::App& aApp,
           CommandsByParser& aCommands,
           Command aCommand,
           const char* aName,
           const char* aHelp)
{
  CLI::App* added = aApp.add_subcommand(aName, aHelp);
  added->footer(kHelpFooter);
  aCommands[added] = aCommand;
  return *added;
}

/// Adds the commands that accept or check a document in a file.
void
AddDocumentCommands(CLI::App& aApp,
                    CommandsByParser& aCommands,
                    Invocation& aInvocation)
{
  CLI::App& apply = AddCommand(
    aApp,
    aCommands,
    Command::Apply,
    "apply",
    "Accept a service or places document; the same text changes nothing");
  apply.add_option("file", aInvocation.mSubject, "document")->required();
  apply.add_option("--from",
                   aInvocation.mExpectedVersion,
                   "version this change starts from; any other version in "
                   "force is a conflict");
  AddAuthorOptions(apply, aInvocation, false);
  CLI::App& check =
    AddCommand(aApp,
               aCommands,
               Command::Check,
               "check",
               "Check a document of any kind without the platform");
  check.add_option("file", aInvocation.mSubject, "document")->required();
}

/// Adds the commands for data centres and processes, the status and the audit
/// trail.
void
AddOperatorCommands(CLI::App& aApp,
                    CommandsByParser& aCommands,
                    Invocation& aInvocation)
{
  CLI::App& drain = AddCommand(aApp,
                               aCommands,
                               Command::Drain,
                               "drain",
                               "Take a data centre out of service");
  drain.add_option("data-centre", aInvocation.mSubject, "name")->required();
  AddAuthorOptions(drain, aInvocation, true);
  CLI::App& returnToService = AddCommand(aApp,
                                         aCommands,
                                         Command::Return,
                                         "return",
                                         "Return a data centre to service");
  returnToService.add_option("data-centre", aInvocation.mSubject, "name")
    ->required();
  AddAuthorOptions(returnToService, aInvocation, true);
  CLI::App& release = AddCommand(
    aApp,
    aCommands,
    Command::Release,
    "release",
    "Let others take over from a process whose host is gone; watches its "
    "session for more than a lease term first");
  release.add_option("member", aInvocation.mSubject, "name of the process")
    ->required();
  AddAuthorOptions(release, aInvocation, true);
  AddCommand(aApp,
             aCommands,
             Command::Status,
             "status",
             "Show documents, data centres, members, shards and jobs");
  CLI::App& audit = AddCommand(aApp,
                               aCommands,
                               Command::Audit,
                               "audit",
                               "Show accepted changes, oldest first");
  audit.add_option("--since",
                   aInvocation.mSince,
                   "a revision, or a time in UTC like 2026-12-04T09:30; "
                   "default: the latest 50 changes");
}

/// Adds the commands that submit and cancel jobs.
void
AddJobCommands(CLI::App& aApp,
               CommandsByParser& aCommands,
               Invocation& aInvocation)
{
  CLI::App& submit =
    AddCommand(aApp,
               aCommands,
               Command::Submit,
               "submit",
               "Submit a job; submitting it again changes nothing");
  submit.add_option("file", aInvocation.mSubject, "job document")->required();
  submit.add_option(
    "--job", aInvocation.mJobId, "job id instead of the one in the document");
  CLI::App& cancel =
    AddCommand(aApp, aCommands, Command::Cancel, "cancel", "Cancel a job");
  cancel.add_option("job", aInvocation.mSubject, "job id")->required();
  AddAuthorOptions(cancel, aInvocation, true);
}

/// Adds the options that limit which decision records a command reads.
void
AddRecordWindowOptions(CLI::App& aCommand, Invocation& aInvocation)
{
  aCommand.add_option("--since",
                      aInvocation.mSince,
                      "a time in UTC like 2026-12-04T09:30; default: 15 "
                      "minutes ago");
  aCommand.add_option(
    "--member", aInvocation.mMember, "read the records of this process only");
  aCommand
    .add_option("--batches",
                aInvocation.mMaxBatches,
                "most batches of records to read per process, a batch holds "
                "about a second")
    ->capture_default_str();
}

/// Adds the commands that read decision records.
void
AddRecordCommands(CLI::App& aApp,
                  CommandsByParser& aCommands,
                  Invocation& aInvocation)
{
  CLI::App& explain =
    AddCommand(aApp,
               aCommands,
               Command::Explain,
               "explain",
               "Explain the decisions about a request or a job");
  explain.add_option("id", aInvocation.mSubject, "request id or job id")
    ->required();
  explain.add_option(
    "--other", aInvocation.mOtherSubject, "request or job to compare it with");
  AddRecordWindowOptions(explain, aInvocation);
  CLI::App& fairness =
    AddCommand(aApp,
               aCommands,
               Command::Fairness,
               "fairness",
               "Show how the customers and teams of a service were served");
  fairness.add_option("service", aInvocation.mSubject, "name")->required();
  AddRecordWindowOptions(fairness, aInvocation);
}

} // namespace

std::variant<Invocation, int>
ParseCommandLine(int aCount, char** aArguments)
{
  Invocation invocation;
  CommandsByParser commands;
  CLI::App app("savorypaddle: control of the colocated services and jobs");
  app.footer(kHelpFooter);
  app.require_subcommand(1);
  // The options of the program may also be given after the command.
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
  AddRecordCommands(app, commands, invocation);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUsageErrorExitCode;
  }
  if (invocation.mWho.empty()) {
    invocation.mWho = LoginName();
  }
  invocation.mOutputFormat = json ? OutputFormat::Json : OutputFormat::Text;
  invocation.mCommand = commands.at(app.get_subcommands().front());
  return invocation;
}

} // namespace paddle
