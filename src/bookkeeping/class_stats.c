#include "bookkeeping/class_stats.h"

/* Share of an image's weight that stays when the next job of the class is counted. */
#define IMAGE_WEIGHT_KEPT 0.97

/* Moves the image at the index up to its place by weight. */
static void
sort_image_up (HrClassStats *stats, guint at)
{
  for (; at > 0 && stats->images[at - 1].weight < stats->images[at].weight; at--) {
    HrImageUse use = stats->images[at];
    stats->images[at] = stats->images[at - 1];
    stats->images[at - 1] = use;
  }
}

/* Index of a new image, in place of the least used one where there is no other. */
static guint
add_image (HrClassStats *stats, guint32 image)
{
  if (stats->n_images < G_N_ELEMENTS (stats->images))
    stats->n_images++;
  guint at = stats->n_images - 1;
  stats->images[at] = (HrImageUse){image, 0};
  return at;
}

void
hr_class_use_image (HrClassStats *stats, guint32 image, guint tasks)
{
  guint at = stats->n_images;
  for (guint i = 0; i < stats->n_images; i++) {
    stats->images[i].weight *= IMAGE_WEIGHT_KEPT;
    if (stats->images[i].image == image)
      at = i;
  }
  if (at == stats->n_images)
    at = add_image (stats, image);
  stats->images[at].weight += tasks;
  sort_image_up (stats, at);
}
