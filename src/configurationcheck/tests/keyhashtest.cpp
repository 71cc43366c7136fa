#include "configurationcheck/keyhash.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::configurationcheck;

/// A wrong hash function: examples of FIPS 180-4, of one block, of two, and the empty text.
TEST(KeyHashTest, IsTheBeginningOfSha256)
{
    EXPECT_EQ(keyHash(framework::ApiKey("abc")).value(), "ba7816bf8f01cfea");
    EXPECT_EQ(keyHash(framework::ApiKey("abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq"))
                  .value(),
              "248d6a61d20638b8");
    EXPECT_EQ(keyHash(framework::ApiKey("")).value(), "e3b0c44298fc1c14");
    EXPECT_EQ(shortHash(keyHash(framework::ApiKey("abc"))), "#ba7816bf");
}
