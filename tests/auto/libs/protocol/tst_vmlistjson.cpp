#include "Property.h"
#include "protocol/VmListJson.h"

#include <string>
#include <variant>

using namespace anvilsaddle;

namespace {

constexpr const char *Valid =
    R"({"revision":3,"vms":[{"name":"a","address":"127.0.0.1","port":65535,"peer_port":1,)"
    R"("failure_domain":"n-a","role":"entry","state":"live","future":[]}]})";

std::string replaced(const std::string &Old, const std::string &New) {
  std::string Result = Valid;
  return Result.replace(Result.find(Old), Old.size(), New);
}

} // namespace

class VmListJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VmListJsonTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(invalidLists);
  CPPUNIT_TEST(anyTextIsHandled);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against fields that are lost, and against unknown fields that stop the list.
  void roundTrip() {
    const auto List = std::get<VmList>(readVmList(Valid, "v"));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{65535}, List.Vms.at(0).Port);
    CPPUNIT_ASSERT(std::get<VmList>(readVmList(writeVmList(List), "v")) == List);
  }

  /// Guards against VMs with an address that nothing can connect to, such as a port that wraps.
  void invalidLists() {
    const std::string First = std::string(Valid).substr(21, std::string(Valid).size() - 23);
    struct Case {
      std::string Text;
      std::string Expected;
    };
    const Case Table[] = {
        {"", "expected an object"},
        {"[]", "expected an object"},
        {R"({"revision":-1,"vms":[]})", "expected an object"},
        {R"({"revision":1,"vms":{}})", "expected an object"},
        {R"({"revision":1,"vms":[7]})", "vms[0]: "},
        {replaced("65535", "65536"), "vms[0]: 'port' must be 1 to 65535"},
        {replaced("65535", "0"), "vms[0]: 'port' must be 1 to 65535"},
        {replaced("65535", "-1"), "vms[0]: 'port' must be"},
        {replaced("65535", "80.5"), "vms[0]: 'port' must be"},
        {replaced("\"peer_port\":1", "\"peer_port\":65537"), "vms[0]: 'peer_port' must be"},
        {replaced("127.0.0.1", "localhost"), "vms[0]: 'address' must be an IP number"},
        {replaced("127.0.0.1", "127.0.0.1\\u0000x"), "vms[0]: 'address' must be an IP number"},
        {replaced("\"name\":\"a\"", "\"name\":\"a/b\""), "vms[0]: 'name' must be"},
        {replaced("\"name\":\"a\"", "\"name\":\"\""), "vms[0]: 'name' must be"},
        {replaced("\"role\":\"entry\",", ""), "vms[0]: "},
        {replaced("\"vms\":[", "\"vms\":[" + First + ","), "VM 'a' is listed twice"},
    };
    for (const Case &Each : Table) {
      const auto Parsed = readVmList(Each.Text, "v");
      const auto *Problems = std::get_if<Findings>(&Parsed);
      CPPUNIT_ASSERT_MESSAGE(Each.Text, Problems && !Problems->empty());
      CPPUNIT_ASSERT_MESSAGE(Problems->front().Message,
                             Problems->front().Message.starts_with(Each.Expected));
    }
  }

  /// Guards against text that crashes the reader.
  void anyTextIsHandled() {
    checkProperty("any text gives a list or findings", [] {
      std::string Text = *rc::gen::arbitrary<std::string>();
      if (*rc::gen::arbitrary<bool>()) {
        std::string Changed = Valid;
        for (const char Byte : Text) {
          Changed.replace(*rc::gen::inRange<std::size_t>(0, Changed.size()),
                          *rc::gen::inRange<std::size_t>(0, 3),
                          *rc::gen::element<std::string>(std::string(1, Byte), "[", "{", "1", "\"",
                                                         ",", "null", "-"));
        }
        Text = Changed;
      }
      const auto Parsed = readVmList(Text, "v");
      const auto *Problems = std::get_if<Findings>(&Parsed);
      const bool Described = !Problems || !Problems->empty();
      RC_ASSERT(Described);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmListJsonTest);
