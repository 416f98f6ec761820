#include "Property.h"
#include "coordination/FairQueue.h"

using namespace anvilsaddle;

namespace {
const TimePoint Start{std::chrono::seconds(1)};

QueuedRequest request(RequestNumber Number, const char *Customer, std::uint32_t Weight = 1,
                      RequestClass Class = RequestClass::Interactive,
                      Duration Left = std::chrono::seconds(10)) {
  return {Number, CustomerName(Customer), Weight, 10'000, Class, Start + Left, {}};
}

bool any(const QueuedRequest &) { return true; }
} // namespace

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(shares);
  CPPUNIT_TEST(idleShareIsLent);
  CPPUNIT_TEST(cancelledWorkCostsNoShare);
  CPPUNIT_TEST(classes);
  CPPUNIT_TEST(admission);
  CPPUNIT_TEST(runningCounts);
  CPPUNIT_TEST(bulkEstimate);
  CPPUNIT_TEST(deadlines);
  CPPUNIT_TEST(ineligibleHead);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a customer that gets more than its weight allows while others wait.
  void shares() {
    FairQueue Queue;
    for (RequestNumber Number = 0; Number < 400; ++Number) {
      Queue.push(request(2 * Number, "t.a", 3), {}, Start);
      Queue.push(request(2 * Number + 1, "t.b", 1), {}, Start);
    }
    for (int Taken = 1, OfA = 0; Taken <= 400; ++Taken) {
      OfA += Queue.popFirst(any, Start)->Customer == CustomerName("t.a") ? 1 : 0;
      CPPUNIT_ASSERT(std::abs(OfA - Taken * 3 / 4) <= 3);
    }
  }

  /// Guards against a customer that collects claims while it is idle.
  void idleShareIsLent() {
    FairQueue Queue;
    for (RequestNumber Number = 0; Number < 300; ++Number) {
      Queue.push(request(Number, "t.a"), {}, Start);
    }
    for (int Taken = 0; Taken < 100; ++Taken) {
      Queue.popFirst(any, Start);
    }
    for (RequestNumber Number = 1'000; Number < 1'100; ++Number) {
      Queue.push(request(Number, "t.b"), {}, Start);
    }
    int OfB = 0;
    for (int Taken = 0; Taken < 20; ++Taken) {
      OfB += Queue.popFirst(any, Start)->Customer == CustomerName("t.b") ? 1 : 0;
    }
    CPPUNIT_ASSERT(OfB >= 9 && OfB <= 11);
  }

  /// Guards against a customer that loses its share because its callers left.
  void cancelledWorkCostsNoShare() {
    FairQueue Queue;
    for (RequestNumber Number = 0; Number < 100; ++Number) {
      Queue.push(request(Number, "t.a"), {}, Start);
      Queue.push(request(1'000 + Number, "t.b"), {}, Start);
    }
    for (RequestNumber Number = 0; Number < 50; ++Number) {
      CPPUNIT_ASSERT(Queue.cancel(Number));
      CPPUNIT_ASSERT(!Queue.cancel(Number));
    }
    int OfA = 0;
    for (int Taken = 0; Taken < 20; ++Taken) {
      OfA += Queue.popFirst(any, Start)->Customer == CustomerName("t.a") ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(10, OfA);
  }

  /// Guards against bulk that delays interactive requests, and against bulk that never starts.
  void classes() {
    FairQueue Queue;
    for (RequestNumber Number = 0; Number < 200; ++Number) {
      Queue.push(request(Number, "t.a", 1, RequestClass::Bulk), {}, Start);
      Queue.push(request(1'000 + Number, "t.a"), {}, Start);
    }
    int Bulk = 0;
    for (int Taken = 0; Taken < 100; ++Taken) {
      Bulk += Queue.popFirst(any, Start)->Class == RequestClass::Bulk ? 1 : 0;
    }
    CPPUNIT_ASSERT(Bulk >= 8 && Bulk <= 10);
  }

  /// Guards against unbounded queues and against waits that must end in a missed deadline.
  void admission() {
    struct Case {
      const char *Name;
      std::size_t Ahead;
      FairQueue::Limits Limits;
      Duration Left;
      std::uint32_t MaxInFlight;
      EnqueueOutcome Expected;
    };
    const FairQueue::Limits Wide{1'000, 1'000};
    const Duration Long = std::chrono::seconds(10);
    const Case Table[] = {
        {"free", 10, Wide, Long, 100, EnqueueOutcome::Queued},
        {"total", 10, {10, 100}, Long, 100, EnqueueOutcome::Overloaded},
        {"customer queue", 10, {100, 10}, Long, 100, EnqueueOutcome::Overloaded},
        {"customer in flight", 10, Wide, Long, 10, EnqueueOutcome::CustomerLimit},
        {"wait of 100 ms is too long", 10, Wide, std::chrono::milliseconds(90), 100,
         EnqueueOutcome::Overloaded},
        {"wait of 100 ms fits", 10, Wide, std::chrono::milliseconds(160), 100,
         EnqueueOutcome::Queued},
        {"no queue and a short deadline", 0, Wide, std::chrono::milliseconds(10), 100,
         EnqueueOutcome::Queued},
        {"deadline has passed", 0, Wide, Duration(0), 100, EnqueueOutcome::Overloaded},
    };
    for (const Case &Each : Table) {
      FairQueue Queue(Each.Limits);
      for (RequestNumber Number = 0; Number < Each.Ahead; ++Number) {
        Queue.push(request(Number, "t.a"), {}, Start);
      }
      QueuedRequest Next = request(1'000, "t.a", 1, RequestClass::Interactive, Each.Left);
      Next.MaxInFlight = Each.MaxInFlight;
      const ServiceEstimate Service{100, std::chrono::milliseconds(40)};
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Queue.push(Next, Service, Start) == Each.Expected);
    }
  }

  /// Guards against a customer that exceeds its most requests because running ones don't count.
  void runningCounts() {
    FairQueue Queue;
    QueuedRequest Next = request(1, "t.a");
    Next.MaxInFlight = 1;
    Queue.push(Next, {}, Start);
    Queue.popFirst(any, Start);
    Next.Number = 2;
    CPPUNIT_ASSERT(Queue.push(Next, {}, Start) == EnqueueOutcome::CustomerLimit);
    Queue.onEnd(Next.Customer);
    CPPUNIT_ASSERT(Queue.push(Next, {}, Start) == EnqueueOutcome::Queued);
  }

  /// Guards against bulk that is admitted by the rate that interactive requests use up.
  void bulkEstimate() {
    FairQueue Queue;
    for (RequestNumber Number = 0; Number < 100; ++Number) {
      Queue.push(request(Number, "t.a", 1, RequestClass::Bulk), {}, Start);
    }
    for (int Step = 1; Step <= 50; ++Step) {
      Queue.popFirst(any, Start + Step * std::chrono::milliseconds(10));
    }
    const Duration Wait = Queue.expectedWait(request(200, "t.a", 1, RequestClass::Bulk), 1'000);
    CPPUNIT_ASSERT(Wait > std::chrono::milliseconds(400));
  }

  /// Guards against requests that start, or stay, after their deadline.
  void deadlines() {
    FairQueue Queue;
    Queue.push(request(1, "t.a", 1, RequestClass::Bulk, Duration(10)), {}, Start);
    Queue.push(request(2, "t.a", 1, RequestClass::Bulk, Duration(20)), {}, Start);
    CPPUNIT_ASSERT(Queue.earliestDeadline() == Start + Duration(10));
    CPPUNIT_ASSERT(Queue.expire(Start + Duration(9)).empty());
    CPPUNIT_ASSERT(Queue.expire(Start + Duration(10)) == std::vector<RequestNumber>{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Queue.size());
  }

  /// Guards against a retried request that blocks those behind it.
  void ineligibleHead() {
    FairQueue Queue;
    Queue.push(request(1, "t.a"), {}, Start);
    Queue.push(request(2, "t.a"), {}, Start);
    const auto NotFirst = [](const QueuedRequest &Each) { return Each.Number != 1; };
    CPPUNIT_ASSERT(Queue.popFirst(NotFirst, Start)->Number == 2);
    CPPUNIT_ASSERT(!Queue.popFirst(NotFirst, Start));
    CPPUNIT_ASSERT(Queue.popFirst(any, Start)->Number == 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
