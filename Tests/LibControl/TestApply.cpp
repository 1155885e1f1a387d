#include <thread>

#include <LibControl/ApplyCommand.h>
#include <LibControl/ControlFixture.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(Apply)
{
  ControlFixture mFixture;

  ControlResult Apply(const std::string& aText,
                      const std::string& aWho = "ana",
                      std::optional<std::uint64_t> aFrom = {})
  {
    return ApplyDocument(
      mFixture.Ports(), { aWho, "because" }, { "d.jsonc", aText, aFrom });
  }

  /// Fails with the text of the result if the exit code differs.
  void CheckExit(ExitCode aExpected, const ControlResult& aResult)
  {
    if (aResult.mExit != aExpected) {
      FAIL(aResult.mText.c_str());
    }
  }
};

// Guards against a change that has no audit entry or several, and against a
// stored document without the comments that the team wrote.
TEST(Apply, AppliedDocumentHasExactlyOneAuditEntry)
{
  const std::string text = ServiceText("desk", "presses", 8);
  CheckExit(ExitCode::Done, Apply(text));
  STRCMP_EQUAL("1", mFixture.mTable.Value("config/revision").c_str());
  LONGS_EQUAL(1, mFixture.mTable.Rows("audit/").size());
  const std::string row = mFixture.mTable.Value("doc/desk");
  STRCMP_CONTAINS("\"version\":1", row.c_str());
  STRCMP_CONTAINS("// why", row.c_str());
  const std::string audit = mFixture.mTable.Value("audit/000000000001");
  STRCMP_CONTAINS("\"who\":\"ana\"", audit.c_str());
  STRCMP_CONTAINS("\"why\":\"because\"", audit.c_str());
  STRCMP_CONTAINS("\"what\":\"desk version 1\"", audit.c_str());
}

// Guards against a repeated command that creates a second version of the same
// document.
TEST(Apply, SameTextChangesNothing)
{
  const std::string text = ServiceText("desk", "presses", 8);
  CheckExit(ExitCode::Done, Apply(text));
  const auto before = mFixture.mTable.Rows();
  const ControlResult again = Apply(text);
  CheckExit(ExitCode::Done, again);
  STRCMP_EQUAL("unchanged: desk version 1 is in force already (revision 1)\n",
               again.mText.c_str());
  CHECK_TRUE(before == mFixture.mTable.Rows());
}

// Guards against an audit entry that does not say which fields changed.
TEST(Apply, AuditEntryNamesChangedFields)
{
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 8)));
  const ControlResult second = Apply(ServiceText("desk", "presses", 4));
  STRCMP_EQUAL("accepted: desk version 2 (revision 2)\n"
               "  slotsPerRunner: 8 -> 4\n",
               second.mText.c_str());
  STRCMP_CONTAINS("slotsPerRunner: 8 -> 4",
                  mFixture.mTable.Value("audit/000000000002").c_str());
}

// Guards against an invalid document that is put in force in part.
TEST(Apply, InvalidDocumentsLeaveTheTableUnchanged)
{
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 8)));
  const auto before = mFixture.mTable.Rows();
  const ControlResult bad = Apply(ServiceText("desk", "presses", 0));
  CheckExit(ExitCode::BadInput, bad);
  STRCMP_EQUAL("d.jsonc:3:21: field slotsPerRunner: must be an integer from 1 "
               "to 1024, is 0\n",
               bad.mText.c_str());
  CheckExit(ExitCode::BadInput, Apply("{\"job\": 1}"));
  CheckExit(ExitCode::BadInput, Apply("[]"));
  CHECK_TRUE(before == mFixture.mTable.Rows());
}

// Guards against documents of two services under one team name. Quotas are kept
// per team, so those of the two documents would be mixed up.
TEST(Apply, SecondDocumentOfATeamIsRefused)
{
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 8)));
  const ControlResult second = Apply(ServiceText("other", "presses", 8));
  CheckExit(ExitCode::Refused, second);
  STRCMP_EQUAL("team presses owns the document of service desk already; a team "
               "owns one document. Use another team name in d.jsonc.\n",
               second.mText.c_str());
}

// Guards against a change that silently overwrites another operator's change
// between reading and committing.
TEST(Apply, ConflictNamesTheAuthorOfTheOtherChange)
{
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 8)));
  mFixture.mTable.BeforeTransact([this] {
    CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 6), "bea"));
  });
  const ControlResult loser = Apply(ServiceText("desk", "presses", 4), "ana");
  CheckExit(ExitCode::Refused, loser);
  STRCMP_CONTAINS("doc/desk was changed by somebody else", loser.mText.c_str());
  STRCMP_CONTAINS("bea: desk version 2 (because)", loser.mText.c_str());
  LONGS_EQUAL(2, mFixture.mTable.Rows("audit/").size());
}

// Guards against a change that is refused because a document of another service
// was changed between reading and committing.
TEST(Apply, ChangeOfAnotherDocumentIsNoConflict)
{
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 8)));
  mFixture.mTable.BeforeTransact([this] {
    CheckExit(ExitCode::Done, Apply(ServiceText("lab", "lab", 6), "bea"));
  });
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 4), "ana"));
  STRCMP_EQUAL("3", mFixture.mTable.Value("config/revision").c_str());
  LONGS_EQUAL(3, mFixture.mTable.Rows("audit/").size());
}

// Guards against lost updates when two threads apply changes at the same time:
// each committed change must have a version and an audit entry of its own.
TEST(Apply, ConcurrentChangesLoseNoUpdate)
{
  constexpr int kRounds = 50;
  int won[2] = { 0, 0 };
  const ControlPorts ports = mFixture.Ports();
  const auto race = [&](int aIndex) {
    for (int i = 0; i < kRounds; ++i) {
      // Both threads name version i as the base of their change, so at most
      // one of them can succeed.
      const ControlResult result = ApplyDocument(
        ports,
        { "operator-" + std::to_string(aIndex), "" },
        { "d.jsonc",
          ServiceText("desk", "presses", 8) + std::string(aIndex + 1, ' '),
          i });
      won[aIndex] += result.mJson["changed"].asBool() ? 1 : 0;
    }
  };
  std::thread first(race, 0);
  std::thread second(race, 1);
  first.join();
  second.join();
  const int changes = won[0] + won[1];
  CHECK_TRUE(changes > 0);
  LONGS_EQUAL(changes, mFixture.mTable.Rows("audit/").size());
  STRCMP_CONTAINS(("\"version\":" + std::to_string(changes)).c_str(),
                  mFixture.mTable.Value("doc/desk").c_str());
  STRCMP_EQUAL(std::to_string(changes).c_str(),
               mFixture.mTable.Value("config/revision").c_str());
}

// Guards against a change that overwrites a newer version than the one that its
// author edited.
TEST(Apply, OutdatedBaseVersionIsAConflict)
{
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 8)));
  CheckExit(ExitCode::Done, Apply(ServiceText("desk", "presses", 6), "bea", 1));
  const ControlResult late = Apply(ServiceText("desk", "presses", 4), "ana", 1);
  CheckExit(ExitCode::Refused, late);
  STRCMP_EQUAL("doc/desk is at version 2, not at version 1 that this change "
               "starts from; nothing was changed.\n"
               "Now in force: revision 2, 1970-01-01T01:00:00.000Z, bea: desk "
               "version 2 (because)\n",
               late.mText.c_str());
}

// Guards against a change whose answer was lost and that is reported as failed
// although it took effect, or is made twice when the operator repeats it.
TEST(Apply, LostAnswerIsResolvedByTheAuditEntry)
{
  mFixture.mTable.mFaults.LoseAnswers(1);
  const std::string text = ServiceText("desk", "presses", 8);
  const ControlResult result = Apply(text);
  CheckExit(ExitCode::Done, result);
  STRCMP_CONTAINS("accepted: desk version 1", result.mText.c_str());
  STRCMP_CONTAINS("unchanged", Apply(text).mText.c_str());
  LONGS_EQUAL(1, mFixture.mTable.Rows("audit/").size());
}

// Guards against an unknown outcome that is reported as success or as failure.
TEST(Apply, UnknownOutcomeIsReportedAsUnknown)
{
  mFixture.mTable.LoseRequests();
  const ControlResult result = Apply(ServiceText("desk", "presses", 8));
  CheckExit(ExitCode::Unknown, result);
  STRCMP_CONTAINS("Run the same command again", result.mText.c_str());
}

// Guards against a change during an outage of the table service that is
// reported as accepted.
TEST(Apply, ChangeDuringAnOutageIsRefusedWithAdvice)
{
  mFixture.mTable.mFaults.SetOutage(true);
  const ControlResult result = Apply(ServiceText("desk", "presses", 8));
  CheckExit(ExitCode::Unreachable, result);
  STRCMP_CONTAINS("Nothing was changed.", result.mText.c_str());
}

// Guards against a places document that returns a data centre to service, or
// removes one that is in service, where tasks may still start.
TEST(Apply, PlacesDocumentKeepsStatesAndRefusesRemovalOfOnesInService)
{
  const std::string both = R"({"dataCentres": [
    {"name": "a", "region": "r"}, {"name": "b", "region": "r"}]})";
  const std::string one = R"({"dataCentres": [{"name": "a", "region": "s"}]})";
  CheckExit(ExitCode::Done, Apply(both));
  const ControlResult refused = Apply(one);
  CheckExit(ExitCode::Refused, refused);
  STRCMP_EQUAL("data centre b is in service but not in the document; run "
               "savorypaddle drain b before it is removed\n",
               refused.mText.c_str());
  mFixture.mTable.Put(
    "dc/a", R"({"region": "r", "state": "out", "who": "", "why": ""})");
  mFixture.mTable.Put(
    "dc/b", R"({"region": "r", "state": "out", "who": "", "why": ""})");
  CheckExit(ExitCode::Done, Apply(one));
  LONGS_EQUAL(1, mFixture.mTable.Rows("dc/").size());
  STRCMP_CONTAINS("\"state\":\"out\"", mFixture.mTable.Value("dc/a").c_str());
  STRCMP_CONTAINS("\"region\":\"s\"", mFixture.mTable.Value("dc/a").c_str());
}
