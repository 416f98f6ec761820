#include "Property.h"
#include "protocol/ApiKey.h"

#include <string>

using namespace anvilsaddle;

class ApiKeyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiKeyTest);
  CPPUNIT_TEST(digests);
  CPPUNIT_TEST(credentials);
  CPPUNIT_TEST(removal);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against digests that differ between entries: the expected bytes are those of SHA-256.
  void digests() {
    const ApiKeyDigest OfAbc = digestOf("abc");
    const ApiKeyDigest Expected = {0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea, 0x41, 0x41, 0x40,
                                   0xde, 0x5d, 0xae, 0x22, 0x23, 0xb0, 0x03, 0x61, 0xa3, 0x96, 0x17,
                                   0x7a, 0x9c, 0xb4, 0x10, 0xff, 0x61, 0xf2, 0x00, 0x15, 0xad};
    CPPUNIT_ASSERT(OfAbc == Expected);
  }

  /// Guards against a key that is accepted in a form that other entries refuse, and against a field
  /// that is passed over because another one of the same name is valid.
  void credentials() {
    using Form = PresentedCredential::Form;
    const std::string Longest(MaxApiKeyBytes, 'k');
    struct Case {
      FieldList Fields;
      Form Expected;
    };
    const Case Table[] = {
        {{{"Host", "h"}}, Form::None},
        {{{"Authorization", "Bearer key"}}, Form::ApiKey},
        {{{"aUTHORIZATION", "bEARER key"}}, Form::ApiKey},
        {{{"Authorization", "Bearer  key"}}, Form::ApiKey},
        {{{"Authorization", "Bearer " + Longest}}, Form::ApiKey},
        {{{"Authorization", "Bearer " + Longest + "k"}}, Form::Malformed},
        {{{"Authorization", ""}}, Form::Malformed},
        {{{"Authorization", "Bearer"}}, Form::Malformed},
        {{{"Authorization", "Bearer "}}, Form::Malformed},
        {{{"Authorization", "Bearerkey"}}, Form::Malformed},
        {{{"Authorization", "Bearer\tkey"}}, Form::Malformed},
        {{{"Authorization", "Bearer key more"}}, Form::Malformed},
        {{{"Authorization", "Bearer k\x80y"}}, Form::Malformed},
        {{{"Authorization", "Basic a2V5"}}, Form::Malformed},
        {{{"Authorization", "key"}}, Form::Malformed},
        {{{"Authorization", "Bearer key"}, {"authorization", "Bearer key"}}, Form::Repeated},
        {{{"Authorization", "Bearer key"}, {"Authorization", ""}}, Form::Repeated},
    };
    for (const Case &Each : Table) {
      const PresentedCredential Read = readCredential(Each.Fields);
      const std::string &Value = Each.Fields.front().second;
      CPPUNIT_ASSERT_MESSAGE(Value, Read.Kind == Each.Expected);
      if (Value.size() < 12 && Read.Kind == Form::ApiKey) {
        CPPUNIT_ASSERT_MESSAGE(Value, Read.Digest == digestOf("key"));
      }
    }
  }

  /// Guards against keys that reach targets in a repeated field or in another spelling.
  void removal() {
    FieldList Fields = {{"Authorization", "Bearer a"}, {"Host", "h"}, {"AUTHORIZATION", "b"}};
    removeCredentials(Fields);
    CPPUNIT_ASSERT((Fields == FieldList{{"Host", "h"}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiKeyTest);
