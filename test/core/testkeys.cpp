#include "core/keys.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Keys)
{
    KeyList list;

    void setup() override
    {
        CHECK_TRUE(list.add(TeamKey{KeyId("k1"), TeamId("t"), keyDigest("secret"), false}).hasValue());
    }
};

// Guards against digests that other tools can't reproduce. Test vector of FIPS 180-2.
TEST(Keys, DigestIsSha256InHexadecimal)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", keyDigest("abc").c_str());
}

// Guards against attributing work to the wrong team.
TEST(Keys, FindsTheTeamOfASecret)
{
    STRCMP_EQUAL("t", list.find(keyDigest("secret"))->team.value().c_str());
}

// Guards against accepting any key.
TEST(Keys, DoesNotFindAnUnknownSecret)
{
    CHECK_FALSE(list.find(keyDigest("Secret")).has_value());
}

// Guards against a withdrawn key that still works.
TEST(Keys, DoesNotFindAWithdrawnKey)
{
    CHECK_TRUE(list.withdraw(KeyId("k1")).hasValue());
    CHECK_FALSE(list.find(keyDigest("secret")).has_value());
}

// Guards against losing a withdrawal when the list is stored and loaded.
TEST(Keys, WithdrawalSurvivesStoringAndLoading)
{
    CHECK_TRUE(list.withdraw(KeyId("k1")).hasValue());
    CHECK_FALSE(KeyList::fromJson(list.toJson()).value().find(keyDigest("secret")).has_value());
}

// Guards against losing a withdrawal from a peer that arrives before the key itself.
TEST(Keys, WithdrawalOfAnUnknownKeyAppliesOnceTheKeyIsAdded)
{
    list.mergeWithdrawn({KeyId("k2")});
    CHECK_TRUE(list.add(TeamKey{KeyId("k2"), TeamId("t"), keyDigest("two"), false}).hasValue());
    CHECK_FALSE(list.find(keyDigest("two")).has_value());
}

// Guards against two teams that share a secret.
TEST(Keys, RefusesASecretThatIsInUse)
{
    CHECK_TRUE(ErrorKind::Conflict == list.add(TeamKey{KeyId("k2"), TeamId("u"), keyDigest("secret"), false}).reason().kind);
}

// Guards against two keys with the same id, of which a withdrawal would affect only one.
TEST(Keys, RefusesAnIdThatIsInUse)
{
    CHECK_TRUE(ErrorKind::Conflict == list.add(TeamKey{KeyId("k1"), TeamId("t"), keyDigest("two"), false}).reason().kind);
}

// Guards against a silent failure when an operator withdraws a key that does not exist.
TEST(Keys, WithdrawingAnUnknownKeyFails)
{
    CHECK_TRUE(ErrorKind::NotFound == list.withdraw(KeyId("k9")).reason().kind);
}
