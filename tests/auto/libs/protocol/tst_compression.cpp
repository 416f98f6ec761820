#include "Property.h"
#include "protocol/Compression.h"

using namespace anvilsaddle;

class CompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(bytesAreRestored);
  CPPUNIT_TEST(invalidInput);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against bytes that get lost at the ends of the buffer.
  void bytesAreRestored() {
    CPPUNIT_ASSERT(rc::check([](const std::string &Text) {
      RC_ASSERT(decompress(compress(Text), Text.size()) == Text);
    }));
    for (const std::size_t Size : {16383, 16384, 16385, 300'000}) {
      std::string Text;
      for (std::size_t Index = 0; Text.size() < Size; ++Index) {
        Text += static_cast<char>(Index * Index % 251);
      }
      CPPUNIT_ASSERT(decompress(compress(Text), Size) == Text);
    }
  }

  /// Guards against a message that is accepted although it is truncated, and against one that
  /// expands to more memory than the process has.
  void invalidInput() {
    const std::string Valid = compress(std::string(100'000, 'x'));
    const std::pair<const char *, std::string> Table[] = {
        {"empty", ""},
        {"not compressed", "abc"},
        {"truncated", Valid.substr(0, Valid.size() - 1)},
        {"trailing bytes", Valid + "x"},
        {"too large", compress(std::string(100'001, 'x'))},
    };
    CPPUNIT_ASSERT(decompress(Valid, 100'000));
    for (const auto &[Name, Bytes] : Table) {
      CPPUNIT_ASSERT_MESSAGE(Name, !decompress(Bytes, 100'000));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);
