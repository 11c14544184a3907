/* Records of the state store: a record that is written reads back the same, for random jobs.
 * src/bookkeeping/record_fields.h explains the members of records. */
#include "bookkeeping/record.h"
#include "bookkeeping/tables.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static HrJobSpec
random_spec (GRand *rand, HrNames *names, guint tasks)
{
  HrJobSpec spec = {0};
  spec.job_class = hr_intern (&names->classes, "k");
  spec.team = hr_intern (&names->teams, "t");
  spec.image = hr_intern (&names->images, "i");
  spec.zone = g_rand_boolean (rand) ? HR_NONE : hr_intern (&names->zones, "z");
  spec.shape = g_rand_int_range (rand, 0, 3);
  spec.priority = g_rand_int_range (rand, 0, 4);
  spec.tasks = tasks;
  spec.cpus = hr_random_range (rand, 0, 16);
  spec.gpus = g_rand_int_range (rand, 0, 4);
  spec.memory_gb = hr_random_range (rand, 0, 96);
  spec.types = g_rand_boolean (rand) ? 0 : 1 + 2 * g_rand_int_range (rand, 0, 2);
  spec.one_zone = g_rand_boolean (rand);
  spec.spread = g_rand_boolean (rand);
  spec.allows_spot = g_rand_boolean (rand);
  spec.deadline_s = g_rand_boolean (rand) ? -1 : hr_random_range (rand, 1, 100);
  return spec;
}

/* Compares member by member, because the padding between members is unspecified. */
static void
assert_same_spec (const HrJobSpec *expected, const HrJobSpec *actual)
{
  assert_int_equal (expected->job_class, actual->job_class);
  assert_int_equal (expected->team, actual->team);
  assert_int_equal (expected->image, actual->image);
  assert_int_equal (expected->zone, actual->zone);
  assert_int_equal (expected->shape, actual->shape);
  assert_int_equal (expected->priority, actual->priority);
  assert_int_equal (expected->tasks, actual->tasks);
  assert_true (expected->types == actual->types);
  assert_int_equal (expected->one_zone, actual->one_zone);
  assert_int_equal (expected->spread, actual->spread);
  assert_int_equal (expected->allows_spot, actual->allows_spot);
  assert_true (expected->cpus == actual->cpus && expected->gpus == actual->gpus &&
               expected->memory_gb == actual->memory_gb);
  assert_true (expected->image_gb == actual->image_gb &&
               expected->estimate_s == actual->estimate_s);
  assert_true (expected->checkpoint_s == actual->checkpoint_s &&
               expected->save_s == actual->save_s);
  assert_true (expected->deadline_s == actual->deadline_s);
}

static void
random_records_round_trip (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (3);
  for (guint round = 0; round < 300; round++) {
    HrNames names;
    HrIntern machines;
    hr_names_init (&names);
    hr_intern_init (&machines);
    hr_intern (&names.types, "a");
    hr_intern (&names.types, "b");
    HrJob *job = g_new0 (HrJob, 1), *copy = g_new0 (HrJob, 1);
    HrJobSpec spec = random_spec (rand, &names, g_rand_int_range (rand, 1, 200));
    guint tasks_per_page = spec.tasks <= hr_tasks_per_page (4) ? 0 : hr_tasks_per_page (4);
    hr_job_set_spec (job, &spec, tasks_per_page);
    for (guint i = 0; i < spec.tasks; i++) {
      HrTask *task = &job->tasks[i];
      int choice = g_rand_int_range (rand, 0, 3);
      task->done_recorded = choice == 1;
      if (choice == 2) {
        g_autofree char *machine_name = g_strdup_printf ("m-%06u", g_rand_int_range (rand, 0, 50));
        HrPlacement *recorded = &hr_task_edit_run (task)->recorded;
        recorded->machine = hr_intern (&machines, machine_name);
        recorded->incarnation = g_rand_int_range (rand, 1, 9);
        recorded->attempt = g_rand_int_range (rand, 1, 9);
      }
    }
    g_autofree char *main_record =
        hr_record_main (job, &names, &machines, HR_JOB_CANCELLED, "w.1", FALSE);
    assert_true (strlen (main_record) <= 4096);
    json_t *value = json_loads (main_record, 0, NULL);
    HrRecord rec;
    assert_true (hr_record_read (value, &names, &rec, NULL));
    assert_int_equal (rec.state, HR_JOB_CANCELLED);
    assert_string_equal (rec.tag, "w.1");
    assert_same_spec (&rec.spec, &spec);
    hr_job_set_spec (copy, &rec.spec, rec.tasks_per_page);
    if (!tasks_per_page)
      assert_true (hr_record_read_tasks (copy, 0, rec.tasks, &machines, NULL));
    hr_record_clear (&rec);
    json_decref (value);
    for (guint page_index = 0; tasks_per_page && page_index < job->record.n_pages; page_index++) {
      g_autofree char *page_record = hr_record_page (job, page_index, &machines, "w.2", FALSE);
      assert_true (strlen (page_record) <= 4096);
      value = json_loads (page_record, 0, NULL);
      assert_true (hr_record_read_tasks (copy, page_index * tasks_per_page,
                                         json_object_get (value, "x"), &machines, NULL));
      json_decref (value);
    }
    for (guint i = 0; i < spec.tasks; i++) {
      assert_int_equal (copy->tasks[i].done_recorded, job->tasks[i].done_recorded);
      assert_int_equal (copy->tasks[i].run->recorded.machine, job->tasks[i].run->recorded.machine);
      assert_int_equal (copy->tasks[i].run->recorded.attempt, job->tasks[i].run->recorded.attempt);
      assert_int_equal (copy->tasks[i].run->recorded.incarnation,
                        job->tasks[i].run->recorded.incarnation);
    }
    hr_job_free (job);
    hr_job_free (copy);
    hr_intern_clear (&machines);
    hr_names_clear (&names);
  }
}

/* The main record lists the awaited jobs only if there are any, so that all other records stay as
 * earlier versions wrote them. The tombstone drops the list, and names the cancelled dependency
 * that cancelled this job. */
static void
awaited_jobs_round_trip (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (5);
  HrNames names;
  HrIntern machines;
  hr_names_init (&names);
  hr_intern_init (&machines);
  HrJobSpec spec = random_spec (rand, &names, 1);
  HrJob first = {.id = "job-1"}, second = {.id = "job-2"};
  HrJob *awaited[] = {&first, &second};
  HrJob *job = g_new0 (HrJob, 1);
  hr_job_set_spec (job, &spec, 0);
  g_autofree char *plain = hr_record_main (job, &names, &machines, HR_JOB_QUEUED, "w.1", FALSE);
  assert_null (strstr (plain, "\"a\":"));
  job->dependencies.awaited = g_memdup2 (awaited, sizeof awaited);
  job->dependencies.n_awaited = 2;
  g_autofree char *main_record =
      hr_record_main (job, &names, &machines, HR_JOB_QUEUED, "w.1", FALSE);
  json_t *value = json_loads (main_record, 0, NULL);
  HrRecord rec;
  assert_true (hr_record_read (value, &names, &rec, NULL));
  assert_same_spec (&rec.spec, &spec);
  assert_int_equal (g_strv_length (rec.awaits), 2);
  assert_string_equal (rec.awaits[0], "job-1");
  assert_string_equal (rec.awaits[1], "job-2");
  hr_record_clear (&rec);
  /* Apart from that member the record is the same as without awaited jobs. */
  json_object_del (value, "a");
  g_autofree char *without_awaits = hr_json_take_text (value);
  assert_string_equal (without_awaits, plain);
  g_autofree char *own_tombstone = hr_record_tombstone (job, HR_JOB_CANCELLED, "w.2");
  assert_null (strstr (own_tombstone, "\"c\":"));
  job->cancellation.root = &first;
  g_autofree char *derived_tombstone = hr_record_tombstone (job, HR_JOB_CANCELLED, "w.2");
  value = json_loads (derived_tombstone, 0, NULL);
  assert_true (hr_record_read (value, &names, &rec, NULL));
  assert_true (rec.is_tombstone && !rec.awaits);
  assert_string_equal (rec.cancelled_with, "job-1");
  hr_record_clear (&rec);
  json_decref (value);
  hr_job_free (job);
  hr_intern_clear (&machines);
  hr_names_clear (&names);
}

/* A record with an invalid list of awaited jobs: without that list the job would start at once. */
static const char record_with_invalid_awaits[] =
    "{\"w\":\"a\",\"s\":0,\"t\":1.0,\"q\":0,\"j\":[\"k\",\"t\",\"i\",0,2,1,1.0,0.0,1.0,1.0,null,1."
    "0,0.0,"
    "0.0,null,false,false,false,-1.0],\"x\":[0],\"a\":[7]}";

static void
malformed_records_are_rejected (void **state G_GNUC_UNUSED)
{
  static const char *const bad[] = {"{}",
                                    "[]",
                                    "7",
                                    "{\"w\":\"a\",\"s\":9}",
                                    "{\"w\":\"a\",\"s\":0,\"j\":[]}",
                                    "{\"w\":\"a\",\"s\":1,\"n\":-1,\"d\":0}",
                                    record_with_invalid_awaits};
  HrNames names;
  hr_names_init (&names);
  json_t *complete = json_loads (record_with_invalid_awaits, 0, NULL);
  json_object_del (complete, "a");
  HrRecord accepted;
  assert_true (hr_record_read (complete, &names, &accepted, NULL));
  hr_record_clear (&accepted);
  json_decref (complete);
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++) {
    json_t *value = json_loads (bad[i], JSON_DECODE_ANY, NULL);
    HrRecord record;
    assert_false (hr_record_read (value, &names, &record, NULL));
    hr_record_clear (&record);
    json_decref (value);
  }
  hr_names_clear (&names);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (random_records_round_trip),
                                     cmocka_unit_test (awaited_jobs_round_trip),
                                     cmocka_unit_test (malformed_records_are_rejected)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
