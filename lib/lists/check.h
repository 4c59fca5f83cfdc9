/**
 * @file check.h
 * Checks of one list's content. Each error names the path of the value.
 */
#ifndef MT_LISTS_CHECK_H
#define MT_LISTS_CHECK_H

#include "lists/lists.h"

/** Largest amount of any kind that a list may name. */
#define MT_RESOURCE_AMOUNT_MAX 100000000

bool mt_list_check_content(mt_list_t list, const json_t *content,
			   GError **error);

#endif
